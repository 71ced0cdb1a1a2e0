package io.radishspindle.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.protocol.message.PoolMessages.ConfigReply;
import io.radishspindle.protocol.message.PoolMessages.PoolJobState;
import io.radishspindle.protocol.message.PoolMessages.QueryConfig;
import org.junit.jupiter.api.Test;

/**
 * Guards against VMs of two releases that can't tell each other the state of a job, or the configuration, while one
 * replaces the other.
 */
class PoolMessagesCompatibilityTest {
    /** The reply as the release before tenants has it. */
    private record EarlierPoolJobState(String phase) implements PeerMessage {}

    @Test
    void should_read_the_state_of_a_job_without_a_tenant() {
        byte[] sent = PeerCodec.encode(new EarlierPoolJobState("RUNNING"));

        assertThat(PeerCodec.decode(sent, PoolJobState.class)).isEqualTo(new PoolJobState("RUNNING", null));
    }

    @Test
    void should_send_a_state_that_an_earlier_release_reads() {
        byte[] sent = PeerCodec.encode(new PoolJobState("RUNNING", "studio"));

        assertThat(PeerCodec.decode(sent, EarlierPoolJobState.class)).isEqualTo(new EarlierPoolJobState("RUNNING"));
    }

    /** The messages as the release before ages and compression has them. */
    private record EarlierQueryConfig(long afterRevision, long waitMs) implements PeerMessage {}

    private record EarlierConfigReply(String key, byte[] value, long revision) implements PeerMessage {}

    @Test
    void should_read_a_query_and_a_reply_without_age() {
        byte[] query = PeerCodec.encode(new EarlierQueryConfig(7, 700));
        byte[] reply = PeerCodec.encode(new EarlierConfigReply("op/config", new byte[] {1}, 7));

        assertThat(PeerCodec.decode(query, QueryConfig.class)).isEqualTo(new QueryConfig(7, 700, null));
        ConfigReply read = PeerCodec.decode(reply, ConfigReply.class);
        assertThat(read.value()).containsExactly(1);
        assertThat(read.knownAfterMs()).isNull();
        assertThat(read.compressed()).isFalse();
    }

    @Test
    void should_send_a_query_and_an_uncompressed_reply_that_an_earlier_release_reads() {
        byte[] query = PeerCodec.encode(new QueryConfig(7, 700, 100L));
        byte[] reply = PeerCodec.encode(new ConfigReply("op/config", new byte[] {1}, 7, -100L, false));

        assertThat(PeerCodec.decode(query, EarlierQueryConfig.class)).isEqualTo(new EarlierQueryConfig(7, 700));
        assertThat(PeerCodec.decode(reply, EarlierConfigReply.class).value()).containsExactly(1);
    }
}
