//! Generated prompt texts of a given length.

use ebony_types::{CallerName, ModelName};

use crate::plan::step::StepKey;

/// Bytes per token in generated texts; the design assumes this average.
pub const BYTES_PER_TOKEN: usize = 4;

/// Returns the prompt prefix that all programs of a caller and model share.
///
/// ```
/// use ebony_trace::plan::prompt::{BYTES_PER_TOKEN, shared_text};
/// use ebony_types::{CallerName, ModelName};
///
/// let (caller, model) = (CallerName::parse("one")?, ModelName::parse("large")?);
/// assert_eq!(shared_text(&caller, &model, 50).len(), 50 * BYTES_PER_TOKEN);
/// # Ok::<(), ebony_types::name::NameError>(())
/// ```
pub fn shared_text(caller: &CallerName, model: &ModelName, tokens: u32) -> String {
    pad_text(format!("{caller} {model} "), tokens)
}

/// Returns the new text of a turn. It begins with the step key in brackets, and is never shorter than that.
///
/// ```
/// use ebony_trace::plan::prompt::{tagged_step, turn_text};
/// use ebony_trace::{StepKey, StepKind};
///
/// let key = StepKey { program: 12, turn: 3, kind: StepKind::Model };
/// let text = turn_text(key, 30);
/// assert_eq!(text.len(), 120);
/// assert_eq!(tagged_step(&format!("earlier turn [12.2.model] {text}")), Some(key));
/// ```
pub fn turn_text(key: StepKey, tokens: u32) -> String {
    pad_text(format!("[{key}] "), tokens)
}

/// Returns the last step key in a prompt, which is the key of the call itself.
pub fn tagged_step(prompt: &str) -> Option<StepKey> {
    let (_, rest) = prompt.rsplit_once('[')?;
    let (key, _) = rest.split_once(']')?;
    key.parse().ok()
}

/// Pads a text to a number of tokens. The padding is derived from `start`, so that different prompts differ in every
/// block of a prefix cache.
fn pad_text(start: String, tokens: u32) -> String {
    let length = tokens as usize * BYTES_PER_TOKEN;
    let mut state = start.bytes().fold(0x9e37_79b9_7f4a_7c15, mix_byte);
    let mut text = start;
    while text.len() < length {
        state = mix_byte(state, 0);
        let letters = [0, 8, 16].map(|shift| char::from(b'a' + ((state >> shift) % 26) as u8));
        text.extend(letters);
        text.push(' ');
    }
    // Truncation at any byte is valid because names, keys and padding are ASCII.
    text.truncate(length.max(text.find("] ").map_or(0, |end| end + 2)));
    text
}

/// Mixes a byte into a state with the finalizer of `SplitMix64`.
fn mix_byte(state: u64, byte: u8) -> u64 {
    let mut mixed = state.wrapping_add(0x9e37_79b9_7f4a_7c15) ^ u64::from(byte);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
