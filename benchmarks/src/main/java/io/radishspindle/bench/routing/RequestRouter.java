package io.radishspindle.bench.routing;

/** What all entry VMs together do with requests. Implementations run on a {@link ReplayWorld} in virtual time. */
interface RequestRouter {
    /** Starts timers; called once before the first request. */
    void start();

    /** Takes a request at its VM and sees to it that it is sent or refused. */
    void arrive(Arrival arrival);
}
