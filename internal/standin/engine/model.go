// Package engine is a stand-in for a model engine. Its answers are a deterministic
// function of the model, the prompt and the earlier tokens, so that tests can
// compare an answer through the router with Reference. It counts the runs of every
// layer.
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
	// beginToken precedes every prompt, so that an empty prompt has one input value.
	beginToken = 1
	// EndToken is the end-of-sequence token. It has no text.
	EndToken = 2
	// firstTextToken is the lowest token id that stands for a word.
	firstTextToken = 16
	vocabularySize = 32000

	// minAnswerLength and maxAnswerLength bound the number of tokens in the answer to
	// a prompt without a length marker.
	minAnswerLength = 8
	maxAnswerLength = 400

	// embeddingLayer and lengthLayer are the layer arguments of hash for embeddings
	// and answer lengths. Negative numbers differ from all model layers.
	embeddingLayer = -1
	lengthLayer    = -2

	// lengthBytes is the size of the answer length, which precedes the values in the
	// activation of position 0.
	lengthBytes = 4
	valueBytes  = 8
)

var errMalformedActivation = errors.New("malformed activation")

var vocabulary = strings.Fields(`amber anvil arch arm bass bell bolt brass cable care chord clean coil copper
crank cup damp dial disc drum dust ear felt file gear glass groove hand horn key lamp lever light loop
mesh mica motor needle note oil pack page part peg pin pitch plate pulse reed ring rivet sand screw shaft
shell sleeve sound speed spring steel stop string sweep tone track tube tune valve voice wax wheel wire wood`)

// lengthMarker sets the answer length in a prompt, for example
// "[[tokens=12]]". If a prompt has several markers, the last one applies.
var lengthMarker = regexp.MustCompile(`\[\[tokens=(\d{1,6})\]\]`)

// hash combines its arguments to one value. The model computes embeddings, layer
// outputs, KV states and answer lengths with hash only.
func hash(model uint64, layer int, in, kv uint64) uint64 {
	var b [4 * valueBytes]byte
	binary.LittleEndian.PutUint64(b[0:], model)
	binary.LittleEndian.PutUint64(b[8:], uint64(int64(layer)))
	binary.LittleEndian.PutUint64(b[16:], in)
	binary.LittleEndian.PutUint64(b[24:], kv)
	return xxhash.Sum64(b[:])
}

// runLayers passes one value through the layers of r and returns the output of the
// last layer. It updates kv, which holds one state for each layer of r.
func runLayers(model uint64, r pipeline.LayerRange, value uint64, kv []uint64) uint64 {
	for i := range kv {
		in := value
		value = hash(model, r.From+i, in, kv[i])
		kv[i] = hash(0, 0, kv[i], in)
	}
	return value
}

// embed returns the input value of a token for the first layer.
func embed(model uint64, token int) uint64 { return hash(model, embeddingLayer, uint64(token), 0) }

// tokenize splits a prompt at white space and hashes each word to a token id.
func tokenize(prompt string) []int {
	tokens := []int{beginToken}
	for _, word := range strings.Fields(prompt) {
		tokens = append(tokens, textToken(xxhash.Sum64String(word)))
	}
	return tokens
}

// textToken maps a value to the id of a token with text.
func textToken(value uint64) int {
	return firstTextToken + int(value%(vocabularySize-firstTextToken))
}

// TokenText returns the text of a generated token.
func TokenText(token int) string {
	if token < firstTextToken {
		return ""
	}
	return " " + vocabulary[token%len(vocabulary)]
}

// AnswerLength returns the number of text tokens in the answer to a prompt without a
// token limit.
func AnswerLength(model, prompt string) int {
	if found := lengthMarker.FindAllStringSubmatch(prompt, -1); found != nil {
		n, _ := strconv.Atoi(found[len(found)-1][1])
		return n
	}
	value := hash(xxhash.Sum64String(model), lengthLayer, xxhash.Sum64String(prompt), 0)
	return minAnswerLength + int(value%(maxAnswerLength-minAnswerLength+1))
}

// Reference computes the complete answer to a prompt in one loop, without stages,
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

// encodeActivation encodes values, preceded by the answer length if first is true,
// which means position 0.
func encodeActivation(first bool, length int, values []uint64) []byte {
	b := make([]byte, 0, lengthBytes+valueBytes*len(values))
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
		if len(b) < lengthBytes {
			return 0, nil, errMalformedActivation
		}
		length = int(binary.LittleEndian.Uint32(b))
		b = b[lengthBytes:]
	}
	if len(b) == 0 || len(b)%valueBytes != 0 || !first && len(b) != valueBytes {
		return 0, nil, errMalformedActivation
	}
	for ; len(b) > 0; b = b[valueBytes:] {
		values = append(values, binary.LittleEndian.Uint64(b))
	}
	return length, values, nil
}
