import java.nio.file.Path;

/** Runs one case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
public final class Case {
    /** One case. */
    interface Script {
        /** Returns whether the rule was broken. */
        boolean run(Deployment deployment) throws Exception;
    }

    private Case() {}

    public static void main(String[] args) throws Exception {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host,connection");
        System.setProperty("sun.net.httpserver.nodelay", "true");
        Script script = (Script) Class.forName(args[0]).getDeclaredConstructor().newInstance();
        int status = 2;
        Thread watchdog = new Thread(() -> {
            try {
                Thread.sleep(115_000);
                System.exit(2);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        watchdog.setDaemon(true);
        watchdog.start();
        try (Deployment deployment = new Deployment(Path.of(args[1]), Integer.parseInt(args[2]))) {
            try {
                status = script.run(deployment) ? 1 : 0;
                deployment.record.add(status == 1 ? "RULE BROKEN" : "the rule held");
            } catch (Deployment.Unable e) {
                deployment.record.add("the case couldn't run: " + e.getMessage());
            }
        }
        System.exit(status);
    }
}
