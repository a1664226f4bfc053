package peer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/pipeline"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// Guards against a frame type that the decoder does not know or creates as another
// type, and against fields of OpenSequence that are lost in encoding or decoding.
func TestFrameTypesAndOpenSequenceRoundTrip(t *testing.T) {
	for typ := TypeHello; typ <= TypeOrderResult; typ++ {
		f, err := newFrame(typ)
		assert.NilError(t, err)
		assert.Equal(t, f.Type(), typ)
	}
	sent := &OpenSequence{
		Request: "r", Attempt: 3, Team: "small", DeadlineMillis: 10, Model: "m",
		Layers: pipeline.LayerRange{From: 4, To: 8}, Downstream: "127.0.0.1:1",
	}
	data, err := encodeFrame(sent, 7)
	assert.NilError(t, err)
	got, revision, rest, err := decodeFrame(append(data, 0xff))
	assert.NilError(t, err)
	assert.Equal(t, revision, uint64(7))
	assert.Equal(t, len(rest), 1)
	assert.DeepEqual(t, got, sent)
}

// Guards against panics on malicious input, a decoder that consumes no bytes, and
// decoded frames that can't be encoded again.
func FuzzDecodeFrame(f *testing.F) {
	for _, frame := range []Frame{
		&Hello{Role: RoleSidecar, ID: "a", State: upstream.StateReady},
		&Step{Request: "r", Position: 1, Activation: []byte{1, 2}},
		&CallResult{Request: "r", Status: 200},
	} {
		data, err := encodeFrame(frame, 1)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, revision, rest, err := decodeFrame(data)
		if err != nil {
			return
		}
		assert.Assert(t, len(rest) < len(data))
		_, err = encodeFrame(frame, revision)
		assert.NilError(t, err)
	})
}

// BenchmarkFrame encodes and decodes a Step frame with the activation of one
// token: 8 bytes, as the stand-in engine sends, and 16 KiB, as a real model with
// 8192 values of 2 bytes sends.
func BenchmarkFrame(b *testing.B) {
	for _, size := range []int{8, 16 << 10} {
		step := &Step{Request: "0198c0de-0000-7000-8000-000000000000", Attempt: 1, Position: 7, Activation: make([]byte, size)}
		data, err := encodeFrame(step, 1234)
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("encode/bytes=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = encodeFrame(step, 1234)
			}
		})
		b.Run(fmt.Sprintf("decode/bytes=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _, _, _ = decodeFrame(data)
			}
		})
	}
}
