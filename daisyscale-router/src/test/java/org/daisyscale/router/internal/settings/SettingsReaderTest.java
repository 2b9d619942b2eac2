package org.daisyscale.router.internal.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.daisyscale.core.DispatchPolicyName;
import org.daisyscale.router.internal.error.ShellException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsReaderTest {
    private static final String TOKEN = "token-of-the-operators";
    private static final String SECRET = "secret-of-the-routers";

    @Test
    void shouldListEveryMistakeWithTheAcceptedValues() {
        SettingsReader reader = new SettingsReader(Map.of("DAISYSCALE_OPERATOR_TOKEN", "short"));

        assertThatThrownBy(() -> reader.read(
                        "--caller-port=70000",
                        "--dispatch-policy=best",
                        "--ping-interval-millis=600",
                        "--queue-limit=many",
                        "--platform-url=ftp://x",
                        "--no-such-flag"))
                .isInstanceOf(ShellException.class)
                .hasMessageContainingAll(
                        "DSC-2001",
                        "--caller-port is 70000; accepted: 0 to 65535",
                        "--dispatch-policy is best; accepted: late-binding, random, round-robin, two-choices",
                        "--ping-interval-millis is 600; accepted: less than --witness-period-millis, which is 500",
                        "--queue-limit",
                        "--platform-url is 'ftp://x'; accepted: an http URL with a host",
                        "--no-such-flag",
                        "--data-centre is missing",
                        "--vm-list-url and --vm-list-inline",
                        "DAISYSCALE_OPERATOR_TOKEN gives a secret of 5 characters; accepted: at least 16",
                        "DAISYSCALE_PEER_SECRET gives a secret of 0 characters");
    }

    @Test
    void shouldReadEnvironmentVariablesAndPreferFlags() {
        Map<String, String> environment = environment();
        environment.put("DAISYSCALE_CALLER_PORT", "1111");
        environment.put("DAISYSCALE_OPERATOR_PORT", "2222");
        environment.put("DAISYSCALE_DISPATCH_POLICY", "random");

        RouterSettings settings = new SettingsReader(environment)
                .read("--caller-port=3333", "--data-centre=dc1")
                .settings();

        assertThat(settings.callers().port()).isEqualTo(3333);
        assertThat(settings.operators().port()).isEqualTo(2222);
        assertThat(settings.core().dispatch().policy()).isEqualTo(DispatchPolicyName.RANDOM);
    }

    @Test
    void shouldGenerateANewRouterIdOnEachStart() {
        SettingsReader reader = new SettingsReader(environment());

        RouterSettings first = reader.read("--data-centre=dc1").settings();
        RouterSettings second = reader.read("--data-centre=dc1").settings();

        assertThat(first.identity().routerId()).isNotEqualTo(second.identity().routerId());
    }

    @Test
    void shouldPrintTheSettingsWithoutSecrets() {
        String text = new SettingsReader(environment())
                .read("--data-centre=dc1", "--print-settings")
                .text();

        assertThat(text).contains("--data-centre=dc1", "--grant-life-millis=900", "[hidden]");
        assertThat(text).doesNotContain(TOKEN).doesNotContain(SECRET);
    }

    @Test
    void shouldReadASecretFromAFile(@TempDir Path folder) throws Exception {
        Path file = Files.writeString(folder.resolve("secret"), "secret-from-the-file\n");

        RouterSettings settings = new SettingsReader(environment())
                .read("--data-centre=dc1", "--peer-secret-file=" + file)
                .settings();

        assertThat(settings.peers().secret().reveal()).isEqualTo("secret-from-the-file");
    }

    private static Map<String, String> environment() {
        Map<String, String> environment = new HashMap<>();
        environment.put("DAISYSCALE_OPERATOR_TOKEN", TOKEN);
        environment.put("DAISYSCALE_PEER_SECRET", SECRET);
        environment.put("DAISYSCALE_PLATFORM_URL", "embedded");
        environment.put("DAISYSCALE_VM_LIST_INLINE", "[]");
        return environment;
    }
}
