package entry

import (
	"bytes"
	"encoding/json"
)

// The shapes of an OpenAI-style answer.
type (
	chatChunk struct {
		ID      string        `json:"id"`
		Object  string        `json:"object"`
		Created int64         `json:"created"`
		Model   string        `json:"model"`
		Choices []chunkChoice `json:"choices"`
	}
	chunkChoice struct {
		Index  int       `json:"index"`
		Delta  chatDelta `json:"delta"`
		Finish *string   `json:"finish_reason"`
	}
	chatDelta struct {
		Content string `json:"content,omitempty"`
	}
	chatDocument struct {
		ID      string           `json:"id"`
		Object  string           `json:"object"`
		Created int64            `json:"created"`
		Model   string           `json:"model"`
		Choices []documentChoice `json:"choices"`
		Usage   chatUsage        `json:"usage"`
	}
	documentChoice struct {
		Index   int         `json:"index"`
		Message chatMessage `json:"message"`
		Finish  string      `json:"finish_reason"`
	}
	chatMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	chatUsage struct {
		Completion int `json:"completion_tokens"`
	}
)

// contentMark stands for a token's text in the pattern of a chunk; no JSON text of the pattern contains it.
const contentMark = `"\u0000"`

// chunkPattern is a chunk of this answer, cut at the place of the token's text. Only the text differs from token to
// token, so the rest is encoded once.
func (m *modelAnswer) chunkPattern() (before, after []byte) {
	if m.before == nil {
		pattern := m.encodeChunk(chunkChoice{Delta: chatDelta{"\x00"}})
		m.before, m.after, _ = bytes.Cut(pattern, []byte(contentMark))
	}
	return m.before, m.after
}

// chunk is the event of one token, with its framing; it is valid until the next call.
func (m *modelAnswer) chunk(text string) []byte {
	before, after := m.chunkPattern()
	content, err := json.Marshal(text)
	if err != nil {
		return nil
	}
	m.out = append(m.out[:0], before...)
	m.out = append(m.out, content...)
	m.out = append(m.out, after...)
	return m.out
}

// lastChunk is the event that says why the answer ended, with its framing.
func (m *modelAnswer) lastChunk() []byte { return m.encodeChunk(chunkChoice{Finish: &m.finish}) }

func (m *modelAnswer) encodeChunk(choice chunkChoice) []byte {
	body, err := json.Marshal(chatChunk{
		ID: m.r.id, Object: "chat.completion.chunk", Created: m.started.Unix(), Model: m.r.service.GetName(),
		Choices: []chunkChoice{choice},
	})
	if err != nil {
		return nil
	}
	return sseFrame(body)
}

// sseFrame returns data as a server-sent event; data must hold no line break.
func sseFrame(data []byte) []byte {
	out := make([]byte, 0, len(data)+len("data: \n\n"))
	out = append(out, "data: "...)
	out = append(out, data...)
	return append(out, '\n', '\n')
}

// document is an answer that is not streamed.
func (m *modelAnswer) document() []byte {
	body, err := json.Marshal(chatDocument{
		ID: m.r.id, Object: "chat.completion", Created: m.started.Unix(), Model: m.r.service.GetName(),
		Choices: []documentChoice{{Message: chatMessage{"assistant", m.text.String()}, Finish: m.finish}},
		Usage:   chatUsage{m.tokens},
	})
	if err != nil {
		return nil
	}
	return body
}
