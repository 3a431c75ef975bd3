package main

import (
	"encoding/binary"
	"math/bits"
	"math/rand/v2"
)

// Constants of XXH64.
const (
	prime1 uint64 = 0x9E3779B185EBCA87
	prime2 uint64 = 0xC2B2AE3D27D4EB4F
)

func xxhRound(accumulator, input uint64) uint64 {
	return bits.RotateLeft64(accumulator+input*prime2, 31) * prime1
}

// equalHashes returns two words of 64 letters and digits that differ and have the same
// XXH64. The first eight bytes of each 32 go through one of the four accumulators: any
// difference in the first of them can be undone by the second.
func equalHashes() (a, b string) {
	inverse := prime2
	for range 6 {
		inverse *= 2 - prime2*inverse
	}
	sum := prime1
	sum += prime2 // the accumulator's first value
	tail := letters(24)
	for {
		first, other, second := letters(8), letters(8), letters(8)
		difference := xxhRound(sum, word(first)) - xxhRound(sum, word(other))
		undo := make([]byte, 8)
		binary.LittleEndian.PutUint64(undo, word(second)+difference*inverse)
		if first != other && onlyLetters(undo) {
			return first + tail + second + tail, other + tail + string(undo) + tail
		}
	}
}

const alphabet = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

func letters(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = alphabet[rand.IntN(len(alphabet))]
	}
	return string(b)
}

func onlyLetters(b []byte) bool {
	for _, c := range b {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z') {
			return false
		}
	}
	return true
}

func word(s string) uint64 { return binary.LittleEndian.Uint64([]byte(s)) }
