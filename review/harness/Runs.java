import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Sees all runs and checks TWICE, and ROUTE if all tasks need one kind of executor. Thread-safe. */
class Runs implements Executor.Observer {
    private final Recorder record;
    private final long workMs;
    private final int taskCpu;
    private final Map<String, Set<Executor>> active = new HashMap<>();
    private final Set<String> done = new HashSet<>();
    private final List<String> twice = new ArrayList<>();
    private final List<String> otherKind = new ArrayList<>();
    private String neededKind = "";
    private int started;

    /** @param taskCpu what every task requests */
    Runs(Recorder record, long workMs, int taskCpu) {
        this.record = record;
        this.workMs = workMs;
        this.taskCpu = taskCpu;
    }

    /** All tasks have this label in their constraints. */
    synchronized void needKind(String kind) {
        neededKind = kind;
    }

    @Override
    public long workMs(String task) {
        return workMs;
    }

    @Override
    public long gauge(String task) {
        return taskCpu / 4;
    }

    @Override
    public synchronized void onStart(Executor executor, String task, int attempt) {
        started++;
        Set<Executor> others = active.computeIfAbsent(task, ignored -> new HashSet<>());
        others.removeIf(other -> !other.isUp());
        others.forEach(other -> {
            twice.add(task);
            record.add("check", "TWICE " + task + " attempt " + attempt + " starts on " + executor.id
                    + " while it runs on " + other.id);
        });
        if (done.contains(task)) {
            twice.add(task);
            record.add("check", "TWICE " + task + " attempt " + attempt + " starts on " + executor.id
                    + " after it had ended done");
        }
        if (!neededKind.isEmpty() && !executor.kind().equals(neededKind)) {
            otherKind.add(executor.id);
            record.add("check", "ROUTE " + task + " needs the label " + neededKind + " and starts on " + executor.id
                    + " of kind " + executor.kind());
        }
        others.add(executor);
    }

    @Override
    public synchronized void onEnd(Executor executor, String task, int attempt, String how) {
        Set<Executor> others = active.get(task);
        if (others != null) {
            others.remove(executor);
        }
        if (how.equals("done")) {
            done.add(task);
        }
    }

    /** The executor has lost all that ran on it. */
    synchronized void onCrash(Executor executor) {
        active.values().forEach(set -> set.remove(executor));
    }

    synchronized int started() {
        return started;
    }

    synchronized int doneTasks() {
        return done.size();
    }

    synchronized List<String> twice() {
        return List.copyOf(twice);
    }

    synchronized List<String> otherKind() {
        return List.copyOf(otherKind);
    }
}
