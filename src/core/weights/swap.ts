/** How many instances of a pool may be away for a change of weights at once, and whose turn it is. */

/** State of an instance's change of weights: `intending` is announced before others are asked, `away` while the engine loads. */
export type SwapState = 'idle' | 'intending' | 'away'
