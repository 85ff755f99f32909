package entry

import (
	"bytes"
	"encoding/json"
)

// The JSON objects of an OpenAI-style response.
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
	chatCompletion struct {
		ID      string             `json:"id"`
		Object  string             `json:"object"`
		Created int64              `json:"created"`
		Model   string             `json:"model"`
		Choices []completionChoice `json:"choices"`
		Usage   chatUsage          `json:"usage"`
	}
	completionChoice struct {
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

// contentPlaceholder is the encoded text in the template of a chunk. No other JSON string of the template contains it.
const contentPlaceholder = `"\u0000"`

// chunkTemplate returns the bytes of a chunk before and after the token's text. Chunks of a response differ only in this
// text, so the rest is encoded once.
func (m *modelResponse) chunkTemplate() (before, after []byte) {
	if m.chunkPrefix == nil {
		pattern := m.encodeChunk(chunkChoice{Delta: chatDelta{"\x00"}})
		m.chunkPrefix, m.chunkSuffix, _ = bytes.Cut(pattern, []byte(contentPlaceholder))
	}
	return m.chunkPrefix, m.chunkSuffix
}

// chunk returns the framed event of one token. The result is valid until the next call.
func (m *modelResponse) chunk(text string) []byte {
	before, after := m.chunkTemplate()
	content, err := json.Marshal(text)
	if err != nil {
		return nil
	}
	m.chunkBuf = append(m.chunkBuf[:0], before...)
	m.chunkBuf = append(m.chunkBuf, content...)
	m.chunkBuf = append(m.chunkBuf, after...)
	return m.chunkBuf
}

// lastChunk returns the framed event with the finish reason.
func (m *modelResponse) lastChunk() []byte { return m.encodeChunk(chunkChoice{Finish: &m.finish}) }

func (m *modelResponse) encodeChunk(choice chunkChoice) []byte {
	body, err := json.Marshal(chatChunk{
		ID: m.r.id, Object: "chat.completion.chunk", Created: m.startedAt.Unix(), Model: m.r.service.GetName(),
		Choices: []chunkChoice{choice},
	})
	if err != nil {
		return nil
	}
	return sseFrame(body)
}

// sseFrame returns data as a server-sent event. data must not contain a line break.
func sseFrame(data []byte) []byte {
	out := make([]byte, 0, len(data)+len("data: \n\n"))
	out = append(out, "data: "...)
	out = append(out, data...)
	return append(out, '\n', '\n')
}

// document returns the JSON body of a response that is not streamed.
func (m *modelResponse) document() []byte {
	body, err := json.Marshal(chatCompletion{
		ID: m.r.id, Object: "chat.completion", Created: m.startedAt.Unix(), Model: m.r.service.GetName(),
		Choices: []completionChoice{{Message: chatMessage{"assistant", m.text.String()}, Finish: m.finish}},
		Usage:   chatUsage{m.tokens},
	})
	if err != nil {
		return nil
	}
	return body
}
