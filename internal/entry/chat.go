package entry

import (
	"encoding/json"

	"github.com/cardamomyoke/cardamomyoke/internal/attempt"
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

// chunk is one event of a streamed answer, with its framing.
func (m *modelAnswer) chunk(text, finish string) []byte {
	choice := chunkChoice{Delta: chatDelta{text}}
	if finish != "" {
		choice.Finish = &finish
	}
	body, err := json.Marshal(chatChunk{
		ID: m.r.id, Object: "chat.completion.chunk", Created: m.started.Unix(), Model: m.r.service.GetName(),
		Choices: []chunkChoice{choice},
	})
	if err != nil {
		return nil
	}
	return attempt.Frame(body)
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
