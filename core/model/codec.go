package model

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Bounds on decoded input, so that a corrupt or malicious message cannot exhaust memory.
const (
	maxArrayElements = 4 << 20
	maxMapPairs      = 4 << 20
	maxNestedLevels  = 16
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the deterministic CBOR encoding of v.
func Encode(v any) ([]byte, error) {
	data, err := encoder.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return data, nil
}

// Decode decodes CBOR data into v.
func Decode(data []byte, v any) error {
	if err := decoder.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
