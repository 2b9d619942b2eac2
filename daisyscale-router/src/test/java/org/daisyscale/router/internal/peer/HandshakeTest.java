package org.daisyscale.router.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.daisyscale.codec.peer.HandshakeMessage;
import org.junit.jupiter.api.Test;

class HandshakeTest {
    private static final PeerSecret SECRET = PeerSecret.of("right");
    private static final PeerSecret OTHER_SECRET = PeerSecret.of("wrong");

    @Test
    void shouldAuthenticateBothSidesToEachOther() {
        Handshake dialer = new DialerHandshake("r1", "r2", SECRET);
        Handshake acceptor = new AcceptorHandshake("r2", SECRET);

        HandshakeMessage challenge = answer(acceptor, dialer.openingMessage().orElseThrow());
        HandshakeMessage proof = answer(dialer, challenge);
        Handshake.Step last = acceptor.receive(proof);

        assertThat(last.authenticatedPeer()).contains("r1");
        assertThat(dialer.receive(last.answer().orElseThrow()).authenticatedPeer())
                .contains("r2");
    }

    @Test
    void shouldSendNoProofToARouterWithAnotherSecret() {
        Handshake dialer = new DialerHandshake("r1", "r2", SECRET);
        Handshake acceptor = new AcceptorHandshake("r2", OTHER_SECRET);

        HandshakeMessage challenge = answer(acceptor, dialer.openingMessage().orElseThrow());

        assertFails(() -> dialer.receive(challenge), PeerErrorCode.UNAUTHENTICATED);
    }

    @Test
    void shouldRejectADialerWithoutTheSecret() {
        Handshake acceptor = new AcceptorHandshake("r2", SECRET);
        answer(acceptor, new HandshakeMessage.Hello("r1", PeerSecret.newNonce()));

        ThrowingCallable call = () -> acceptor.receive(new HandshakeMessage.Proof(new byte[32]));

        assertFails(call, PeerErrorCode.UNAUTHENTICATED);
    }

    @Test
    void shouldRejectTheAcceptorsOwnProofWhenSentBack() {
        Handshake acceptor = new AcceptorHandshake("r2", SECRET);
        HandshakeMessage answer = answer(acceptor, new HandshakeMessage.Hello("r1", PeerSecret.newNonce()));
        byte[] ownProof = ((HandshakeMessage.Challenge) answer).proof();

        ThrowingCallable call = () -> acceptor.receive(new HandshakeMessage.Proof(ownProof));

        assertFails(call, PeerErrorCode.UNAUTHENTICATED);
    }

    @Test
    void shouldRejectARouterOtherThanTheOneDialed() {
        Handshake dialer = new DialerHandshake("r1", "r2", SECRET);
        Handshake acceptor = new AcceptorHandshake("r3", SECRET);

        HandshakeMessage challenge = answer(acceptor, dialer.openingMessage().orElseThrow());

        assertFails(() -> dialer.receive(challenge), PeerErrorCode.WRONG_PEER);
    }

    @Test
    void shouldRejectAProofBeforeTheHello() {
        Handshake acceptor = new AcceptorHandshake("r2", SECRET);

        ThrowingCallable call = () -> acceptor.receive(new HandshakeMessage.Proof(new byte[32]));

        assertFails(call, PeerErrorCode.BAD_HANDSHAKE);
    }

    @Test
    void shouldHideTheSecretInItsTextForm() {
        assertThat(SECRET.toString()).doesNotContain("right");
    }

    private static HandshakeMessage answer(Handshake handshake, HandshakeMessage message) {
        return handshake.receive(message).answer().orElseThrow();
    }

    private static void assertFails(ThrowingCallable call, PeerErrorCode code) {
        assertThatThrownBy(call)
                .isInstanceOfSatisfying(
                        PeerException.class, e -> assertThat(e.errorCode()).isEqualTo(code));
    }
}
