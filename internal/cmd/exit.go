package cmd

import (
	"errors"

	"skylarkdeal/core/inifile"
	"skylarkdeal/internal/edit"
)

// The exit codes of the commands on documents, besides the common ones.
const (
	// ExitInvalid says that a document or settings have mistakes.
	ExitInvalid = 3
	// ExitLost says that somebody else's edit came first.
	ExitLost = 4
	// ExitUnknown says that an edit may or may not have taken effect.
	ExitUnknown = 5
)

// exitCode returns the code that tells what err is.
func exitCode(err error) int {
	var (
		usage   usageError
		invalid inifile.Mistakes
		lost    *edit.Lost
		unknown *edit.Unknown
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &invalid):
		return ExitInvalid
	case errors.As(err, &lost):
		return ExitLost
	case errors.As(err, &unknown):
		return ExitUnknown
	}
	return ExitFailure
}
