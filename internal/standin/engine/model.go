// Package engine is a stand-in of a model engine. Its answers are a fixed
// function of model, prompt and earlier tokens, so that tests can compare a
// routed answer with Reference, and it counts every layer it runs.
package engine

import (
	"encoding/binary"
	"errors"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegroute/nutmegroute/internal/pipeline"
)

const (
	// beginToken precedes every prompt, so that an empty prompt has a value.
	beginToken = 1
	// EndToken is the end-of-sequence token. It has no text.
	EndToken = 2
	// firstTextToken is the lowest token id that stands for a word.
	firstTextToken = 16
	vocabularySize = 32000

	// minAnswer and maxAnswer bound the answer length in tokens of a prompt
	// without a length marker.
	minAnswer = 8
	maxAnswer = 400

	// embeddingLayer and lengthLayer are the layer arguments of hash for uses
	// other than a model layer.
	embeddingLayer = -1
	lengthLayer    = -2

	// headerBytes is the size of the answer length at the start of the
	// activation of position 0.
	headerBytes = 4
	valueBytes  = 8
)

var errActivation = errors.New("malformed activation")

var words = strings.Fields(`amber anvil arch arm bass bell bolt brass cable care chord clean coil copper
crank cup damp dial disc drum dust ear felt file gear glass groove hand horn key lamp lever light loop
mesh mica motor needle note oil pack page part peg pin pitch plate pulse reed ring rivet sand screw shaft
shell sleeve sound speed spring steel stop string sweep tone track tube tune valve voice wax wheel wire wood`)

// lengthMarker sets the answer length in a prompt, for example
// "[[tokens=12]]". The last marker counts.
var lengthMarker = regexp.MustCompile(`\[\[tokens=(\d{1,6})\]\]`)

// hash is the only arithmetic of the model.
func hash(model uint64, layer int, in, kv uint64) uint64 {
	var b [4 * valueBytes]byte
	binary.LittleEndian.PutUint64(b[0:], model)
	binary.LittleEndian.PutUint64(b[8:], uint64(int64(layer)))
	binary.LittleEndian.PutUint64(b[16:], in)
	binary.LittleEndian.PutUint64(b[24:], kv)
	return xxhash.Sum64(b[:])
}

// runLayers passes one value through the layers of r and advances kv, which
// holds one state for each layer of r.
func runLayers(model uint64, r pipeline.LayerRange, value uint64, kv []uint64) uint64 {
	for i := range kv {
		in := value
		value = hash(model, r.From+i, in, kv[i])
		kv[i] = hash(0, 0, kv[i], in)
	}
	return value
}

func embed(model uint64, token int) uint64 { return hash(model, embeddingLayer, uint64(token), 0) }

// tokenize splits a prompt at white space and hashes each word to a token id.
func tokenize(prompt string) []int {
	tokens := []int{beginToken}
	for _, word := range strings.Fields(prompt) {
		tokens = append(tokens, textToken(xxhash.Sum64String(word)))
	}
	return tokens
}

func textToken(value uint64) int {
	return firstTextToken + int(value%(vocabularySize-firstTextToken))
}

// TokenText returns the text of a generated token.
func TokenText(token int) string {
	if token < firstTextToken {
		return ""
	}
	return " " + words[token%len(words)]
}

// AnswerLength returns the number of text tokens that a prompt's answer has if
// no limit cuts it.
func AnswerLength(model, prompt string) int {
	if found := lengthMarker.FindAllStringSubmatch(prompt, -1); found != nil {
		n, _ := strconv.Atoi(found[len(found)-1][1])
		return n
	}
	value := hash(xxhash.Sum64String(model), lengthLayer, xxhash.Sum64String(prompt), 0)
	return minAnswer + int(value%(maxAnswer-minAnswer+1))
}

// Reference computes the whole answer to a prompt in one loop, without stages,
// batches or caches, and returns the text of each token. maxTokens 0 means no
// limit.
func Reference(model string, layers int, prompt string, maxTokens int) []string {
	seed := xxhash.Sum64String(model)
	limit := AnswerLength(model, prompt)
	if maxTokens > 0 {
		limit = min(limit, maxTokens)
	}
	kv := make([]uint64, layers)
	input := tokenize(prompt)
	answer := []string{}
	for len(answer) < limit {
		var value uint64
		for _, token := range input {
			value = embed(seed, token)
			for layer := range layers {
				kvBefore := kv[layer]
				kv[layer] = hash(0, 0, kvBefore, value)
				value = hash(seed, layer, value, kvBefore)
			}
		}
		token := textToken(value)
		answer = append(answer, TokenText(token))
		input = []int{token}
	}
	return answer
}

// encodeActivation writes the answer length, for position 0 only, and values.
func encodeActivation(first bool, length int, values []uint64) []byte {
	b := make([]byte, 0, headerBytes+valueBytes*len(values))
	if first {
		b = binary.LittleEndian.AppendUint32(b, uint32(length))
	}
	for _, v := range values {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	return b
}

// decodeActivation is the inverse of encodeActivation.
func decodeActivation(first bool, b []byte) (length int, values []uint64, err error) {
	if first {
		if len(b) < headerBytes {
			return 0, nil, errActivation
		}
		length = int(binary.LittleEndian.Uint32(b))
		b = b[headerBytes:]
	}
	if len(b) == 0 || len(b)%valueBytes != 0 || !first && len(b) != valueBytes {
		return 0, nil, errActivation
	}
	for ; len(b) > 0; b = b[valueBytes:] {
		values = append(values, binary.LittleEndian.Uint64(b))
	}
	return length, values, nil
}
