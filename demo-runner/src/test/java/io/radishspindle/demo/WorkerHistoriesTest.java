package io.radishspindle.demo;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskId;
import io.radishspindle.platform.http.Wire;
import io.radishspindle.standin.WorkerEvent;
import io.radishspindle.standin.WorkerEvent.Kind;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards the checker against missing a task in two places or an overfull worker, and against false alarms. */
class WorkerHistoriesTest {
    private static final TaskAttempt FIRST = new TaskAttempt(new TaskId("job", 0), 1, 1);
    private static final TaskAttempt SECOND = new TaskAttempt(new TaskId("job", 0), 2, 1);

    @TempDir
    private Path directory;

    @Test
    void should_find_a_task_in_two_places() {
        // given
        write("a", event("a", Kind.START, FIRST, 10, 10), event("a", Kind.END, FIRST, 30, 30));
        write("b", event("b", Kind.START, SECOND, 29, 29), event("b", Kind.END, SECOND, 40, 40));
        // when
        WorkerHistories histories = WorkerHistories.read(directory, Map.of(), 100);
        // then
        assertThat(histories.tasksInTwoPlaces()).hasSize(1);
        assertThat(histories.attempts()).isEqualTo(2);
    }

    @Test
    void should_count_neither_the_time_of_a_pause_nor_that_after_a_kill() {
        // given an attempt that was paused and one whose worker was killed
        write(
                "a",
                event("a", Kind.START, FIRST, 10, 10),
                event("a", Kind.PAUSE, FIRST, 20, 60),
                event("a", Kind.END, FIRST, 60, 60));
        write("b", event("b", Kind.START, SECOND, 25, 25));
        // when
        WorkerHistories killed = WorkerHistories.read(directory, Map.of("b", 50L), 100);
        WorkerHistories alive = WorkerHistories.read(directory, Map.of(), 100);
        // then
        assertThat(killed.tasksInTwoPlaces()).isEmpty();
        assertThat(alive.segmentsOf("job"))
                .extracting(WorkerHistories.Segment::untilMs)
                .contains(100L);
    }

    @Test
    void should_find_an_overfull_worker() {
        // given a worker of 1,000 milli-cores with two tasks of 600 at once
        TaskAttempt other = new TaskAttempt(new TaskId("job", 1), 1, 1);
        write("a", event("a", Kind.BOOT, FIRST, 0, 0), event("a", Kind.START, FIRST, 10, 10));
        write("b", event("b", Kind.BOOT, FIRST, 0, 0), event("b", Kind.START, SECOND, 10, 10));
        append("a", event("a", Kind.START, other, 20, 20));
        // when
        WorkerHistories histories = WorkerHistories.read(directory, Map.of(), 100);
        // then
        assertThat(histories.overfullWorkers()).singleElement().asString().startsWith("a at 20");
    }

    @Test
    void should_ignore_an_incomplete_last_line() throws IOException {
        // given
        write("a", event("a", Kind.START, FIRST, 10, 10));
        Files.writeString(file("a"), Files.readString(file("a")) + "{\"kind\":\"END\",\"wor");
        // when
        WorkerHistories histories = WorkerHistories.read(directory, Map.of(), 100);
        // then
        assertThat(histories.firstStartMs(FIRST.task())).contains(10L);
    }

    private static WorkerEvent event(String worker, Kind kind, TaskAttempt attempt, long atMs, long untilMs) {
        Resources resources = new Resources(kind == Kind.BOOT ? 1_000 : 600, 0, 0);
        return new WorkerEvent(kind, worker, attempt, resources, kind == Kind.END ? "STOPPED" : "", atMs, untilMs);
    }

    private void append(String worker, WorkerEvent event) {
        List<String> before = lines(worker);
        write(
                worker,
                Stream.concat(before.stream(), Stream.of(Wire.toJson(event).toString())));
    }

    private void write(String worker, WorkerEvent... events) {
        write(worker, Stream.of(events).map(event -> Wire.toJson(event).toString()));
    }

    private void write(String worker, Stream<String> lines) {
        try {
            Files.writeString(file(worker), lines.collect(Collectors.joining("\n", "", "\n")));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private List<String> lines(String worker) {
        try {
            return Files.readAllLines(file(worker));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private Path file(String worker) {
        return directory.resolve(worker + ".jsonl");
    }
}
