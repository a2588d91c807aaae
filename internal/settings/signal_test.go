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

const stoppingProgram = "BRAMLEY_TEST_STOPPING_PROGRAM"

// Guards against a program that cannot be ended while its graceful stop waits
// without a time limit: the second SIGTERM must end it.
func TestSecondSignalEndsTheProgram(t *testing.T) {
	if os.Getenv(stoppingProgram) != "" {
		ctx, stop := settings.SignalContext(context.Background())
		defer stop()
		_, _ = os.Stdout.WriteString("r")
		<-ctx.Done()
		_, _ = os.Stdout.WriteString("s")
		time.Sleep(time.Minute)
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run", "^TestSecondSignalEndsTheProgram$")
	cmd.Env = append(os.Environ(), stoppingProgram+"=1")
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	read := func() string {
		state := make([]byte, 1)
		_, err := out.Read(state)
		require.NoError(t, err)
		return string(state)
	}
	require.Equal(t, "r", read())
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.Equal(t, "s", read())
	// The default action returns shortly after the context has ended, so the
	// signal is repeated, as an operator would.
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	for limit := time.After(10 * time.Second); ; {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		select {
		case err := <-ended:
			var exit *exec.ExitError
			require.ErrorAs(t, err, &exit)
			require.Equal(t, syscall.SIGTERM, exit.Sys().(syscall.WaitStatus).Signal())
			return
		case <-limit:
			t.Fatal("the program did not end")
		case <-time.After(50 * time.Millisecond):
		}
	}
}
