// Package settings reads and validates the settings file of samphired.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/joomcode/errorx"

	"samphirepaddle.example/core/model"
)

// Error types of this package.
var (
	namespace     = errorx.NewNamespace("settings")
	ErrUnreadable = namespace.NewType("unreadable") // the file cannot be read
	ErrInvalid    = namespace.NewType("invalid")    // the file is too large or its content is invalid
)

// maxFileBytes bounds the settings file.
const maxFileBytes = 1 << 20

// Settings is the content of the settings file.
type Settings struct {
	Gateway     model.GatewayID `json:"gateway" validate:"required,max=128"`
	Zone        model.Zone      `json:"zone" validate:"required,max=128"`
	PublicAddr  string          `json:"public_addr" validate:"required,hostname_port"` // address for callers, targets and operators
	PeerAddr    string          `json:"peer_addr" validate:"required,hostname_port"`   // address for other daemons
	Controllers []Controller    `json:"controllers" validate:"required,min=1,max=7,unique=ID,dive"`
	DataDir     string          `json:"data_dir,omitempty"` // required on controllers

	// The listeners bind to these addresses; they default to public_addr and peer_addr, which are
	// the advertised addresses. Calls to other daemons use the IP address of peer_listen as their
	// source address.
	PublicListen string `json:"public_listen,omitempty" validate:"omitempty,hostname_port"`
	PeerListen   string `json:"peer_listen,omitempty" validate:"omitempty,hostname_port"`

	LogLevel string `json:"log_level,omitempty" validate:"omitempty,oneof=debug info warn error"`

	SessionTTLMs        model.Millis `json:"session_ttl_ms,omitempty" validate:"omitempty,min=200,max=60000"`
	TargetTTLMs         model.Millis `json:"target_ttl_ms,omitempty" validate:"omitempty,min=500,max=600000"`
	AnnounceMs          model.Millis `json:"announce_ms,omitempty" validate:"omitempty,min=50,max=60000"`
	BalancerWaitMs      model.Millis `json:"balancer_wait_ms,omitempty" validate:"omitempty,min=0,max=60000"`
	MaxConnections      int          `json:"max_connections,omitempty" validate:"omitempty,min=1,max=1000000"`
	BodyMemoryMiB       int64        `json:"body_memory_mib,omitempty" validate:"omitempty,min=1"`       // memory for request bodies and their copies, of each listener; 32 if not set
	ConnectionMemoryMiB int64        `json:"connection_memory_mib,omitempty" validate:"omitempty,min=1"` // memory that the kernel may take for connections; 128 if not set
	MaxQueued           int          `json:"max_queued,omitempty" validate:"omitempty,min=1,max=1000000"`
}

// Controller identifies one VM of the controller group.
type Controller struct {
	ID       model.GatewayID `json:"id" validate:"required,max=128"`
	PeerAddr string          `json:"peer_addr" validate:"required,hostname_port"`
}

// Defaults of the optional settings.
const (
	DefaultSessionTTLMs   = model.Millis(1500)
	DefaultTargetTTLMs    = model.Millis(10_000)
	DefaultAnnounceMs     = model.Millis(1000)
	DefaultBalancerWaitMs = model.Millis(1000)
	DefaultMaxConnections = 4096
	DefaultMaxQueued      = 1024
)

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return Settings{}, ErrUnreadable.Wrap(err, "open")
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return Settings{}, ErrUnreadable.Wrap(err, "%s", path)
	}
	if len(data) > maxFileBytes {
		return Settings{}, ErrInvalid.New("%s: the file is larger than %d bytes", path, maxFileBytes)
	}
	s, err := Parse(data)
	if err != nil {
		return Settings{}, ErrInvalid.Wrap(err, "%s", path)
	}
	return s, nil
}

// Parse reads settings from JSON, sets the defaults and validates them.
func Parse(data []byte) (Settings, error) {
	var s Settings
	if err := decodeStrict(data, &s); err != nil {
		return Settings{}, err
	}
	s.setDefaults()
	return s, s.validate()
}

// decodeStrict decodes exactly one JSON object and rejects unknown fields.
func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected content after the JSON object")
	}
	return nil
}

func (s *Settings) setDefaults() {
	setDefault(&s.SessionTTLMs, DefaultSessionTTLMs)
	setDefault(&s.TargetTTLMs, DefaultTargetTTLMs)
	setDefault(&s.AnnounceMs, DefaultAnnounceMs)
	setDefault(&s.BalancerWaitMs, DefaultBalancerWaitMs)
	setDefault(&s.MaxConnections, DefaultMaxConnections)
	setDefault(&s.MaxQueued, DefaultMaxQueued)
	setDefault(&s.LogLevel, "info")
	setDefault(&s.PublicListen, s.PublicAddr)
	setDefault(&s.PeerListen, s.PeerAddr)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (s Settings) validate() error {
	problems, err := fieldErrors(s)
	if err != nil {
		return err
	}
	if s.IsController() && s.DataDir == "" {
		problems = append(problems, fmt.Errorf("data_dir: value %q: a controller needs a directory on a disk", s.DataDir))
	}
	if s.AnnounceMs*3 > s.TargetTTLMs {
		problems = append(problems, fmt.Errorf("announce_ms: value %d: at most a third of target_ttl_ms (%d) is allowed", s.AnnounceMs, s.TargetTTLMs))
	}
	return errors.Join(problems...)
}

// fieldErrors checks the validation tags and returns one error for each invalid field.
func fieldErrors(s any) ([]error, error) {
	checker := validator.New()
	checker.RegisterTagNameFunc(jsonName)
	var problems []error
	var fields validator.ValidationErrors
	if err := checker.Struct(s); errors.As(err, &fields) {
		for _, field := range fields {
			problems = append(problems, fieldError(field))
		}
	} else if err != nil {
		return nil, err
	}
	return problems, nil
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func fieldError(field validator.FieldError) error {
	_, path, _ := strings.Cut(field.Namespace(), ".")
	return fmt.Errorf("%s: value %v: %s", path, field.Value(), ruleText(field))
}

// ruleText describes the validation rule that a field violates.
func ruleText(field validator.FieldError) string {
	unit := ""
	if field.Kind() == reflect.String {
		unit = " characters"
	}
	if field.Kind() == reflect.Slice {
		unit = " entries"
	}
	switch field.Tag() {
	case "required":
		return "a value is required"
	case "hostname_port":
		return "an address as host:port is required"
	case "min":
		return "at least " + field.Param() + unit + " required"
	case "max":
		return "at most " + field.Param() + unit + " allowed"
	case "oneof":
		return "allowed are " + strings.ReplaceAll(field.Param(), " ", ", ")
	case "unique":
		return "each id may be listed once"
	default:
		return "must satisfy " + field.Tag() + " " + field.Param()
	}
}

// IsController reports whether this daemon has the controller role.
func (s Settings) IsController() bool {
	for _, c := range s.Controllers {
		if c.ID == s.Gateway {
			return true
		}
	}
	return false
}
