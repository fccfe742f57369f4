package peer_test

import (
	"bytes"
	"testing"

	"wardturn"
	"wardturn/peer"
)

// Guards against connections between builds that break because the form of an EngineConfig has changed.
func TestSizesLeaveTheFormOfEngineConfig(t *testing.T) {
	spec := wardturn.EngineSpec{
		Batch:        8,
		AdapterSlots: 4,
		Models: []wardturn.ModelSpec{
			{
				Name: "m",
			},
		},
	}
	encode := func(s wardturn.EngineSpec) []byte {
		frame, err := peer.AppendFrame(nil, &peer.EngineConfig{
			Config:   1,
			Upstream: "i-1",
			Spec:     s,
		})
		if err != nil {
			t.Fatal(err)
		}
		return frame
	}
	sized := spec
	sized.Memory = 1000
	sized.Models = []wardturn.ModelSpec{
		{
			Name:        "m",
			Weights:     800,
			AdapterSize: 100,
		},
	}
	if got, want := encode(sized), encode(spec); !bytes.Equal(got, want) {
		t.Errorf("with sizes %x, without %x", got, want)
	}
	// The frame of the build before sizes.
	want := []byte{0x00, 0x00, 0x00, 0x12, 0x11, 0x96, 0x01, 0xa3, 0x69, 0x2d, 0x31, 0x00, 0x93, 0x08, 0x04, 0x91, 0x92, 0xa1, 0x6d, 0x00, 0xc2, 0xc2}
	if got := encode(spec); !bytes.Equal(got, want) {
		t.Errorf("encoded as %#v", got)
	}
}
