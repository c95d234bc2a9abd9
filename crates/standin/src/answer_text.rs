//! Deterministic answer content, computed from the request id, so that a client can verify a whole
//! answer without storing it.

/// Length of one token in bytes.
pub const TOKEN_BYTES: usize = 6;
const LETTERS: u64 = 26;

/// Seed of the answer to a request: the first 8 bytes of the BLAKE3 hash of its id.
pub fn answer_seed(request_id: &str) -> u64 {
    let hash = blake3::hash(request_id.as_bytes());
    let bytes = hash.as_bytes();
    u64::from_le_bytes([
        bytes[0], bytes[1], bytes[2], bytes[3], bytes[4], bytes[5], bytes[6], bytes[7],
    ])
}

/// Token at `position`, counted from 0: five lowercase letters and a space.
pub fn answer_token(seed: u64, position: u64) -> [u8; TOKEN_BYTES] {
    let mut state = mix_bits(seed.wrapping_add(position.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    let mut token = [b' '; TOKEN_BYTES];
    for byte in &mut token[..TOKEN_BYTES - 1] {
        *byte = b'a' + u8::try_from(state % LETTERS).unwrap_or(0);
        state /= LETTERS;
    }
    token
}

/// Finalizer of the SplitMix64 generator.
pub(crate) fn mix_bits(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Full text of an answer of `tokens` tokens to a request.
///
/// ```
/// use baobabfall_standin::answer_text::expected_answer;
/// let answer = expected_answer("request-1", 3);
/// assert_eq!(answer.len(), 18);
/// assert!(expected_answer("request-1", 4).starts_with(&answer));
/// assert_ne!(answer, expected_answer("request-2", 3));
/// ```
pub fn expected_answer(request_id: &str, tokens: u64) -> String {
    let seed = answer_seed(request_id);
    (0..tokens).flat_map(|position| answer_token(seed, position)).map(char::from).collect()
}

/// Incremental BLAKE3 digest of an answer, in constant memory.
///
/// ```
/// use baobabfall_standin::answer_text::{AnswerDigest, expected_answer, expected_digest};
/// let mut digest = AnswerDigest::default();
/// for part in expected_answer("request-1", 10).as_bytes().chunks(7) {
///     digest.update(part);
/// }
/// assert_eq!(digest.finish(), expected_digest("request-1", 10));
/// ```
#[derive(Clone, Debug, Default)]
pub struct AnswerDigest(blake3::Hasher);

impl AnswerDigest {
    /// Adds the next part of the content; parts may split tokens.
    pub fn update(&mut self, content: &[u8]) {
        self.0.update(content);
    }

    /// Digest of all content added so far.
    pub fn finish(&self) -> [u8; 32] {
        *self.0.finalize().as_bytes()
    }
}

/// Digest of [`expected_answer`], in constant memory.
pub fn expected_digest(request_id: &str, tokens: u64) -> [u8; 32] {
    let seed = answer_seed(request_id);
    let mut digest = AnswerDigest::default();
    for position in 0..tokens {
        digest.update(&answer_token(seed, position));
    }
    digest.finish()
}
