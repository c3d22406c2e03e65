//! SHA-256, by which manifests name the chunks of weights.

fn constants(count: usize, root: fn(f64) -> f64) -> Vec<u32> {
    let primes = (2_u32..).filter(|n| (2..*n).take_while(|d| d * d <= *n).all(|d| n % d != 0));
    primes.take(count).map(|prime| (root(f64::from(prime)).fract() * 4_294_967_296.0) as u32).collect()
}

pub fn hex(bytes: &[u8]) -> String {
    let rounds = constants(64, f64::cbrt);
    let mut state = constants(8, f64::sqrt);
    let mut padded = bytes.to_vec();
    padded.push(0x80);
    while padded.len() % 64 != 56 {
        padded.push(0);
    }
    padded.extend((bytes.len() as u64 * 8).to_be_bytes());
    for block in padded.chunks(64) {
        let mut words: Vec<u32> =
            block.chunks(4).map(|word| u32::from_be_bytes([word[0], word[1], word[2], word[3]])).collect();
        for i in 16..64 {
            let (a, b) = (words[i - 15], words[i - 2]);
            let low = a.rotate_right(7) ^ a.rotate_right(18) ^ (a >> 3);
            let high = b.rotate_right(17) ^ b.rotate_right(19) ^ (b >> 10);
            let word = words[i - 16].wrapping_add(low).wrapping_add(words[i - 7]).wrapping_add(high);
            words.push(word);
        }
        let mut v = state.clone();
        for i in 0..64 {
            let s1 = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let choice = (v[4] & v[5]) ^ (!v[4] & v[6]);
            let t1 = v[7].wrapping_add(s1).wrapping_add(choice).wrapping_add(rounds[i]).wrapping_add(words[i]);
            let s0 = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let majority = (v[0] & v[1]) ^ (v[0] & v[2]) ^ (v[1] & v[2]);
            let t2 = s0.wrapping_add(majority);
            v = vec![t1.wrapping_add(t2), v[0], v[1], v[2], v[3].wrapping_add(t1), v[4], v[5], v[6]];
        }
        for (known, new) in state.iter_mut().zip(v) {
            *known = known.wrapping_add(new);
        }
    }
    state.iter().map(|word| format!("{word:08x}")).collect()
}
