//! OpenAI-style completion calls: parsing of requests and serialization of answers.

use serde::{Deserialize, Serialize};

use crate::http::{Refusal, RefusalKind};

/// Tokens generated when a request names no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// A completion call of the API.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Call {
    /// `POST /v1/completions`.
    Completion,
    /// `POST /v1/chat/completions`.
    Chat,
}

impl Call {
    /// The call's name in metrics and logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Completion => "completion",
            Self::Chat => "chat",
        }
    }
}

#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    seed: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<ChatMessage>,
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    seed: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

/// A completion request, in the same form for both calls.
#[derive(Debug, PartialEq)]
pub(super) struct Prompt {
    /// Name of the requested model.
    pub model: String,
    /// The text to continue.
    pub text: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Sampling seed, if the caller set one.
    pub seed: Option<u64>,
}

/// Parses a request's body.
///
/// # Errors
/// The body does not parse, the prompt is empty or `max_tokens` is 0.
pub(super) fn parse(call: Call, body: &[u8]) -> Result<Prompt, Refusal> {
    let prompt = match call {
        Call::Completion => parse_completion(body),
        Call::Chat => parse_chat(body),
    };
    let prompt = prompt.map_err(|error| malformed(&format!("the body does not parse: {error}")))?;
    if prompt.max_tokens == 0 {
        return Err(malformed("max_tokens must be at least 1"));
    }
    if prompt.text.is_empty() {
        return Err(malformed("the prompt is empty"));
    }
    Ok(prompt)
}

fn malformed(detail: &str) -> Refusal {
    Refusal::not_run(RefusalKind::Malformed, detail)
}

fn parse_completion(body: &[u8]) -> serde_json::Result<Prompt> {
    let body: CompletionBody = serde_json::from_slice(body)?;
    Ok(Prompt {
        model: body.model,
        text: body.prompt,
        max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        stream: body.stream,
        seed: body.seed,
    })
}

fn parse_chat(body: &[u8]) -> serde_json::Result<Prompt> {
    let body: ChatBody = serde_json::from_slice(body)?;
    let mut text = String::new();
    for message in &body.messages {
        text.push_str(&message.role);
        text.push_str(": ");
        text.push_str(&message.content);
        text.push('\n');
    }
    Ok(Prompt {
        model: body.model,
        text,
        max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        stream: body.stream,
        seed: body.seed,
    })
}

#[derive(Serialize)]
struct Answer<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<TokenUsage>,
}

#[derive(Default, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'a>>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

/// Token counts of a request, as reported in its answer.
#[expect(clippy::struct_field_names, reason = "the names are the interface's")]
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
    /// Sum of both.
    pub total_tokens: u32,
}

/// Encodes the answer of one request, whole or as events.
#[derive(Debug)]
pub(super) struct AnswerEncoder {
    /// The call that the request made.
    pub call: Call,
    /// Id of the request.
    pub id: String,
    /// Name of the model that answers.
    pub model: String,
    /// Creation time in Unix seconds.
    pub created: u64,
}

impl AnswerEncoder {
    fn message(text: &str) -> Message<'_> {
        Message {
            role: "assistant",
            content: text,
        }
    }

    fn answer<'a>(&'a self, object: &'static str, choice: Choice<'a>) -> Answer<'a> {
        Answer {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage: None,
        }
    }

    /// Serializes a complete answer to JSON.
    pub(super) fn whole(&self, text: &str, usage: TokenUsage) -> serde_json::Result<Vec<u8>> {
        let mut choice = Choice {
            finish_reason: Some("stop"),
            ..Choice::default()
        };
        let object = match self.call {
            Call::Completion => {
                choice.text = Some(text);
                "text_completion"
            }
            Call::Chat => {
                choice.message = Some(Self::message(text));
                "chat.completion"
            }
        };
        let mut answer = self.answer(object, choice);
        answer.usage = Some(usage);
        serde_json::to_vec(&answer)
    }

    /// Writes one server-sent event of a streamed answer.
    pub(super) fn event(
        &self,
        text: &str,
        done: bool,
        buf: &mut Vec<u8>,
    ) -> serde_json::Result<()> {
        let mut choice = Choice {
            finish_reason: done.then_some("stop"),
            ..Choice::default()
        };
        let object = match self.call {
            Call::Completion => {
                choice.text = Some(text);
                "text_completion"
            }
            Call::Chat => {
                choice.delta = Some(Self::message(text));
                "chat.completion.chunk"
            }
        };
        buf.extend_from_slice(b"data: ");
        serde_json::to_writer(&mut *buf, &self.answer(object, choice))?;
        buf.extend_from_slice(b"\n\n");
        if done {
            buf.extend_from_slice(b"data: [DONE]\n\n");
        }
        Ok(())
    }
}
