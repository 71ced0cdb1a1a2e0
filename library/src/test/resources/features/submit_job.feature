Feature: Submitting a job
  A job is accepted by one group at most, and "not run" is said only when that is certain.

  Background:
    Given the group "seoul/g0" owned by "seoul-2" with 16 free cores
    And the group "busan/g0" owned by "busan-1" with 64 free cores
    And a caller at the entry VM "seoul-1"

  Scenario: The own data centre is preferred
    When the caller submits a job of 2 cores
    Then the job is accepted by "seoul/g0"
    And only "seoul-2" was asked

  Scenario: A group without room loses to one with room in another data centre
    When the caller submits a job of 32 cores
    Then the job is accepted by "busan/g0"

  Scenario: A group that certainly did not accept is passed over
    Given "seoul-2" answers that it does not own the group
    When the caller submits a job of 2 cores
    Then the job is accepted by "busan/g0"

  Scenario: An owner that is lost with the job is not followed by a second try
    Given the connection to "seoul-2" breaks after the job was sent
    When the caller submits a job of 2 cores
    Then the outcome is unknown and names the job
    And only "seoul-2" was asked

  Scenario: A later owner without the job proves that it was not accepted
    Given "seoul-3" takes the group over without the job when the connection to "seoul-2" breaks
    When the caller submits a job of 2 cores
    Then the job is accepted by "busan/g0"

  Scenario: A later owner with the job proves that it was accepted
    Given "seoul-3" takes the group over with the job when the connection to "seoul-2" breaks
    When the caller submits a job of 2 cores
    Then the job is accepted by "seoul/g0"
    And only "seoul-2" was asked

  Scenario: A job that no group can hold is refused with the reason
    When the caller submits a job of 900 cores
    Then the job is refused as never fitting
    And nobody was asked
