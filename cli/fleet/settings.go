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
	// settingsFlag and settingsVariable name the file of settings.
	settingsFlag     = "--settings"
	settingsVariable = "WARDTURN_SETTINGS"
	// settingsEvery is how often the file is looked at: it may change without a
	// signal.
	settingsEvery = time.Second
)

// settings are the values of a settings file, by flag.
type settings map[string]string

// settingsPath returns the path of the settings file, or an empty string. The
// command line goes before the environment.
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

// readSettings reads a file of lines FLAG=VALUE. Names that no flag has, and
// flags without a value, are passed over: the file may tell more than this
// version knows, or less.
func readSettings(path string) (settings, error) {
	s := make(settings)
	if path == "" {
		return s, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	for line := range strings.Lines(string(data)) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), "=")
		if ok && value != "" {
			s[name] = value
		}
	}
	return s, nil
}

// Validate implements kong.Resolver.
func (s settings) Validate(*kong.Application) error {
	return nil
}

// Resolve implements kong.Resolver: the command line and the environment go
// before the file.
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

// watchSettings reads the settings again at each SIGHUP and when their file has
// changed, and hands them to apply, until ctx ends.
func watchSettings(ctx context.Context, args []string, logger hclog.Logger, apply func(*commands)) {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	path := settingsPath(args)
	seen := changedAt(path)
	for {
		limit, cancel := context.WithTimeout(ctx, settingsEvery)
		select {
		case <-hups:
			reload(args, logger, apply)
			seen = changedAt(path)
		case <-limit.Done():
			if at := changedAt(path); !at.Equal(seen) {
				seen = at
				reload(args, logger, apply)
			}
		}
		cancel()
		if ctx.Err() != nil {
			return
		}
	}
}

// changedAt returns when a file was last changed; zero if that is not known.
func changedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings again and hands them to apply. Settings with a fault
// are refused as a whole.
func reload(args []string, logger hclog.Logger, apply func(*commands)) {
	var root commands
	parser, err := newParser(args, &root)
	if err == nil {
		_, err = parser.Parse(args)
	}
	if err != nil {
		logger.Error("settings not understood, the present ones stay", "error", err)
		return
	}
	apply(&root)
}

// refused logs the faults of settings that were read again, and reports whether
// there are any.
func refused(logger hclog.Logger, err error) bool {
	if err == nil {
		return false
	}
	var bad wardturn.SettingProblems
	if errors.As(err, &bad) {
		for _, p := range bad {
			logger.Error("bad setting, the present settings stay", "setting", p.Setting, "reason", p.Reason)
		}
		return true
	}
	logger.Error("settings refused, the present ones stay", "error", err)
	return true
}
