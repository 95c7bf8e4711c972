/** Seeded random numbers, for reproducible faults, loads and experiments. */

/** Returns a generator of numbers in [0, 1) (mulberry32); the same seed gives the same sequence. */
export function seededRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296
  }
}
