package settings_test

import (
	"context"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/settings"
)

const childProcessEnv = "BRAMLEY_TEST_STOPPING_PROGRAM"

// Guards against a program that cannot be stopped while its graceful stop waits
// without a time limit. The second SIGTERM must end it.
func TestSecondSignalEndsProgram(t *testing.T) {
	if os.Getenv(childProcessEnv) != "" {
		ctx, stop := settings.SignalContext(context.Background())
		defer stop()
		_, _ = os.Stdout.WriteString("r")
		<-ctx.Done()
		_, _ = os.Stdout.WriteString("s")
		time.Sleep(time.Minute)
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run", "^TestSecondSignalEndsProgram$")
	cmd.Env = append(os.Environ(), childProcessEnv+"=1")
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	readState := func() string {
		state := make([]byte, 1)
		_, err := out.Read(state)
		require.NoError(t, err)
		return string(state)
	}
	require.Equal(t, "r", readState())
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.Equal(t, "s", readState())
	// The default signal action is restored shortly after the context has ended.
	// The signal is repeated until then, as an operator would repeat it.
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	for timeout := time.After(10 * time.Second); ; {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		select {
		case err := <-ended:
			var exit *exec.ExitError
			require.ErrorAs(t, err, &exit)
			require.Equal(t, syscall.SIGTERM, exit.Sys().(syscall.WaitStatus).Signal())
			return
		case <-timeout:
			t.Fatal("the program did not end")
		case <-time.After(50 * time.Millisecond):
		}
	}
}
