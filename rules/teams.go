package rules

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
)

// MaxTokens bounds the tokens of one team. A team has two while it replaces one.
const MaxTokens = 16

// Team is a group of operators with its own tokens. It may change the services that
// the register assigns to it.
type Team struct {
	Name string `json:"name"`
	// Platform marks a team that may change the whole configuration.
	Platform bool `json:"platform,omitempty"`
	// TokenHashes lists the SHA-256 hashes of the tokens in lower-case hexadecimal
	// digits. The tokens themselves are not stored.
	TokenHashes []string `json:"token_sha256"`
}

// HashToken returns the hash of a token as it is stored in TokenHashes.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// TeamOf returns the team that has the token, or nil.
func (r *Rules) TeamOf(token string) *Team {
	hash := []byte(HashToken(token))
	var found *Team
	for i := range r.Teams {
		for _, h := range r.Teams[i].TokenHashes {
			if subtle.ConstantTimeCompare(hash, []byte(h)) == 1 {
				found = &r.Teams[i]
			}
		}
	}
	return found
}

// validateTeams returns the faults of the teams.
func (r *Rules) validateTeams() Errors {
	var errs Errors
	names := make(map[string]bool)
	hashes := make(map[string]bool)
	hasPlatformToken := false
	for i := range r.Teams {
		t := &r.Teams[i]
		field := fmt.Sprintf("teams[%d]", i)
		if t.Name == "" || len(t.Name) > 63 || names[t.Name] {
			errs = append(errs, field+".name: empty, longer than 63 bytes or used twice")
		}
		names[t.Name] = true
		if len(t.TokenHashes) > MaxTokens {
			errs = append(errs, fmt.Sprintf("%s.token_sha256: %d tokens, at most %d", field, len(t.TokenHashes), MaxTokens))
		}
		for j, h := range t.TokenHashes {
			raw, err := hex.DecodeString(h)
			if err != nil || len(raw) != sha256.Size || hex.EncodeToString(raw) != h || hashes[h] {
				errs = append(errs, fmt.Sprintf("%s.token_sha256[%d]: not a SHA-256 hash in lower-case hexadecimal digits, or used twice", field, j))
			}
			hashes[h] = true
		}
		hasPlatformToken = hasPlatformToken || (t.Platform && len(t.TokenHashes) > 0)
	}
	if len(r.Teams) > 0 && !hasPlatformToken {
		errs = append(errs, "teams: no platform team has a token, so that nobody could change teams")
	}
	return errs
}
