package fleet

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"wardturn"
)

const (
	// settingsFlag and settingsVariable set the path of the settings file.
	settingsFlag     = "--settings"
	settingsVariable = "WARDTURN_SETTINGS"
	// settingsPollInterval is the interval at which the file's modification time is
	// polled, since the file may change without a signal.
	settingsPollInterval = time.Second
)

// settings has the values of a settings file by flag name.
type settings map[string]string

// settingsPath returns the path of the settings file, or an empty string if there is
// none. The command line takes precedence over the environment.
func settingsPath(args []string) string {
	for i, a := range args {
		if path, ok := strings.CutPrefix(a, settingsFlag+"="); ok {
			return path
		}
		if a == settingsFlag && i+1 < len(args) {
			return args[i+1]
		}
	}
	return os.Getenv(settingsVariable)
}

// readSettings reads a file of FLAG=VALUE lines. Unknown flags and empty values are
// ignored, since the file may be written for an older or newer version of the program.
func readSettings(path string) (settings, error) {
	values := make(settings)
	if path == "" {
		return values, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	for line := range strings.Lines(string(data)) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), "=")
		if ok && value != "" {
			values[name] = value
		}
	}
	return values, nil
}

// Validate implements kong.Resolver.
func (s settings) Validate(*kong.Application) error {
	return nil
}

// Resolve implements kong.Resolver. The command line and the environment take precedence
// over the file.
func (s settings) Resolve(_ *kong.Context, _ *kong.Path, flag *kong.Flag) (any, error) {
	for _, name := range flag.Envs {
		if _, ok := os.LookupEnv(name); ok {
			return nil, nil
		}
	}
	if value, ok := s[flag.Name]; ok {
		return value, nil
	}
	return nil, nil
}

// watchSettings reloads the settings at each SIGHUP and when their file has changed, and
// passes them to apply, until ctx ends.
func watchSettings(ctx context.Context, args []string, logger hclog.Logger, apply func(*commands)) {
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	defer signal.Stop(sighups)
	path := settingsPath(args)
	lastModTime := modTime(path)
	for {
		pollCtx, cancel := context.WithTimeout(ctx, settingsPollInterval)
		select {
		case <-sighups:
			reload(args, logger, apply)
			lastModTime = modTime(path)
		case <-pollCtx.Done():
			if current := modTime(path); !current.Equal(lastModTime) {
				lastModTime = current
				reload(args, logger, apply)
			}
		}
		cancel()
		if ctx.Err() != nil {
			return
		}
	}
}

// modTime returns the modification time of a file, or zero if it is unknown.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload parses the command line and the settings file again and passes the result to
// apply. If parsing fails, no setting changes.
func reload(args []string, logger hclog.Logger, apply func(*commands)) {
	var root commands
	parser, err := newParser(args, &root)
	if err == nil {
		_, err = parser.Parse(args)
	}
	if err != nil {
		logger.Error("settings not understood, keeping the current ones", "error", err)
		return
	}
	apply(&root)
}

// logInvalidSettings logs each invalid setting in err, the result of validating reloaded
// settings, and reports whether there is an error.
func logInvalidSettings(logger hclog.Logger, err error) bool {
	if err == nil {
		return false
	}
	var bad wardturn.SettingProblems
	if errors.As(err, &bad) {
		for _, p := range bad {
			logger.Error("bad setting, keeping the current settings", "setting", p.Setting, "reason", p.Reason)
		}
		return true
	}
	logger.Error("settings refused, keeping the current ones", "error", err)
	return true
}
