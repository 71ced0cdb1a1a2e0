package io.radishspindle.demo;

/** Addresses of one entry VM on loopback. Immutable and thread-safe. */
public record EntryVm(String id, String dataCentre, String region, int callersPort, int operatorsPort, int peersPort) {
    static final String HOST = "127.0.0.1";

    /** How other VMs name it in their settings. */
    String seed() {
        return id + "@" + dataCentre + "=" + HOST + ":" + peersPort;
    }

    String callersUrl() {
        return "http://" + HOST + ":" + callersPort;
    }

    String operatorsUrl() {
        return "http://" + HOST + ":" + operatorsPort;
    }
}
