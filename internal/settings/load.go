package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/caarlos0/env/v11"
	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/strictyaml"
)

// EnvPrefix is the prefix of the environment variables that override settings.
const EnvPrefix = "RATTAN_"

// FileError holds all faults of a settings file.
type FileError struct {
	File   string
	Faults strictyaml.Faults
}

// Error lists the faults as "file:line:column: field: message", one a line.
func (e *FileError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = e.File + ":" + fault.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults.
func (e *FileError) Unwrap() error { return e.Faults }

// LoadProxy loads the settings of rattan-proxy. The error is a *FileError when
// the file can be read but is not valid.
func LoadProxy(path string) (*Proxy, error) {
	var p Proxy
	if err := load(path, &p, &p.Common); err != nil {
		return nil, err
	}
	return &p, nil
}

// LoadWarden loads the settings of rattan-warden. The error is a *FileError
// when the file can be read but is not valid.
func LoadWarden(path string) (*Warden, error) {
	var w Warden
	if err := load(path, &w, &w.Common); err != nil {
		return nil, err
	}
	return &w, nil
}

// load decodes a settings file into target, applies the environment, reads the
// secret files and validates the result. common is the common part of target.
func load(path string, target any, common *Common) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read settings")
	}
	source, faults := strictyaml.Decode(data, target)
	faults = append(faults, dsnPasswordFaults(source, common)...)
	faults = append(faults, applyEnvironment(target)...)
	faults = append(faults, source.Validate(strictyaml.NewValidator(), target)...)
	faults = append(faults, readSecrets(source, common)...)
	if faults.Err() != nil {
		return &FileError{File: path, Faults: faults}
	}
	return nil
}

// dsnPasswordFaults returns a fault when the DSN in the file has a password. It must
// run before the environment overrides the DSN.
func dsnPasswordFaults(source *strictyaml.Source, common *Common) strictyaml.Faults {
	dsn := common.Platform.Table.DSN.Reveal()
	if !dsnHasPassword(dsn) {
		return nil
	}
	const path = "platform.table.dsn"
	return strictyaml.Faults{source.Fault(path, "must not hold a password; use password_file or %sPLATFORM_TABLE_PASSWORD", EnvPrefix)}
}

func dsnHasPassword(dsn string) bool {
	if strings.Contains(strings.ToLower(dsn), "password") {
		return true
	}
	_, rest, isURL := strings.Cut(dsn, "://")
	user, _, hasUser := strings.Cut(rest, "@")
	return isURL && hasUser && strings.Contains(user, ":")
}

// applyEnvironment overrides fields of target with environment variables.
func applyEnvironment(target any) strictyaml.Faults {
	err := env.ParseWithOptions(target, env.Options{Prefix: EnvPrefix})
	var aggregate env.AggregateError
	if !errors.As(err, &aggregate) {
		if err != nil {
			return strictyaml.Faults{{Message: err.Error()}}
		}
		return nil
	}
	var faults strictyaml.Faults
	for _, envErr := range aggregate.Errors {
		faults = append(faults, strictyaml.Fault{Message: fmt.Sprintf("environment variable: %s", envErr)})
	}
	return faults
}

// readSecrets reads the secrets from the files that the settings name.
func readSecrets(source *strictyaml.Source, common *Common) strictyaml.Faults {
	table, objects, backend := &common.Platform.Table, &common.Platform.Objects, &common.Backend
	var faults strictyaml.Faults
	read := func(path, file string, secrets ...*Secret) {
		if file == "" {
			return
		}
		if err := readSecret(file, secrets); err != nil {
			faults = append(faults, source.Fault(path, "%s", err))
		}
	}
	read("platform.table.password_file", table.PasswordFile, &table.Password)
	read("platform.objects.key_file", objects.KeyFile, &objects.AccessKey, &objects.SecretKey)
	read("backend.password_file", backend.PasswordFile, &backend.Password)
	return faults
}

// readSecret reads secrets from a file, one from each line. Secrets that the
// environment has set are kept.
func readSecret(file string, secrets []*Secret) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	lines := strings.Split(strings.TrimRight(string(data), "\r\n"), "\n")
	if len(lines) != len(secrets) || lines[0] == "" {
		return fmt.Errorf("%s must hold %d lines", file, len(secrets))
	}
	for i, secret := range secrets {
		if *secret == "" {
			*secret = Secret(strings.TrimRight(lines[i], "\r"))
		}
	}
	return nil
}
