package io.radishspindle.entry.job;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs the scenarios for submitting jobs. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features/submit_job.feature")
@ConfigurationParameter(key = "cucumber.glue", value = "io.radishspindle.entry.job")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
public class SubmitJobScenariosTest {}
