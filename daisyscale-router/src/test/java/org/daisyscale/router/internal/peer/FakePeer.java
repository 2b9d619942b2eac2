package org.daisyscale.router.internal.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.daisyscale.codec.peer.HandshakeCodec;

/**
 * A peer that performs the handshake on plain sockets and leaves all further reads and writes to the test. Not
 * thread-safe.
 */
final class FakePeer implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final HandshakeCodec codec = new HandshakeCodec();
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final String id;
    private final PeerSecret secret;

    FakePeer(String id, PeerSecret secret) throws IOException {
        this.id = id;
        this.secret = secret;
        listener.setReceiveBufferSize(8_192);
        listener.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Dials {@code port} and completes the handshake with the router {@code peer}. */
    Socket dial(int port, String peer) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        Handshake handshake = new DialerHandshake(id, peer, secret);
        writeFrame(socket, codec.encode(handshake.openingMessage().orElseThrow()));
        completeHandshake(socket, handshake);
        return socket;
    }

    /** Accepts one connection and completes the handshake. */
    Socket accept() throws IOException {
        Socket socket = listener.accept();
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        completeHandshake(socket, new AcceptorHandshake(id, secret));
        return socket;
    }

    static void writeFrame(Socket socket, byte[] frame) throws IOException {
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(frame.length);
        out.write(frame);
    }

    static byte[] readFrame(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        return in.readNBytes(in.readInt());
    }

    private void completeHandshake(Socket socket, Handshake handshake) throws IOException {
        boolean isComplete = false;
        while (!isComplete) {
            Handshake.Step step = handshake.receive(codec.decode(readFrame(socket)));
            if (step.answer().isPresent()) {
                writeFrame(socket, codec.encode(step.answer().get()));
            }
            isComplete = step.authenticatedPeer().isPresent();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
