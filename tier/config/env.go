package config

import (
	"flag"
	"fmt"
	"strings"
)

// VariableError is an environment variable whose value its flag does not take.
type VariableError struct {
	Flag     string
	Variable string
	Err      error
}

// Error implements error.
func (e *VariableError) Error() string { return fmt.Sprintf("%s: %v", e.Variable, e.Err) }

// Unwrap returns what the flag said.
func (e *VariableError) Unwrap() error { return e.Err }

// Lookup finds the value of a variable.
type Lookup func(variable string) (string, bool)

// ChainLookups looks a variable up in several places, the first of them first.
func ChainLookups(places ...Lookup) Lookup {
	return func(variable string) (string, bool) {
		for _, p := range places {
			if v, ok := p(variable); ok {
				return v, true
			}
		}
		return "", false
	}
}

// SetFlagsFromEnv sets the flags that the command line left out: -Host from the
// prefix and HOST. Its error is the first one, a *VariableError.
func SetFlagsFromEnv(f *flag.FlagSet, prefix string, lookup Lookup) error {
	given := map[string]bool{}
	f.Visit(func(x *flag.Flag) { given[x.Name] = true })
	var first error
	f.VisitAll(func(x *flag.Flag) {
		variable := prefix + strings.ToUpper(x.Name)
		v, ok := lookup(variable)
		if !ok || given[x.Name] || first != nil {
			return
		}
		if err := f.Set(x.Name, v); err != nil {
			first = &VariableError{Flag: x.Name, Variable: variable, Err: err}
		}
	})
	return first
}
