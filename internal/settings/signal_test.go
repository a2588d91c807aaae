package settings_test

import (
	"context"
	"os"
	"os/exec"
	"syscall"
	"testing"

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
		select {}
	}
	cmd := exec.Command(os.Args[0], "-test.run", "^TestSecondSignalEndsTheProgram$")
	cmd.Env = append(os.Environ(), stoppingProgram+"=1")
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	for _, want := range []string{"r", "s"} {
		state := make([]byte, 1)
		_, err := out.Read(state)
		require.NoError(t, err)
		require.Equal(t, want, string(state))
		require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	}
	var ended *exec.ExitError
	require.ErrorAs(t, cmd.Wait(), &ended)
	require.Equal(t, syscall.SIGTERM, ended.Sys().(syscall.WaitStatus).Signal())
}
