/** Input and result of the replay of the exchange. */

/** Chunks and links unless the options tell others. */
export const defaults = { chunkCount: 96, chunkBytes: 24_576, agentBytesPerSecond: 640_000, originBytesPerSecond: 912_000, cutoffMilliseconds: 9700 } as const

/** What is replayed; times in milliseconds from the naming of the weights. */
export interface ExchangeOptions {
  readonly agentsPerDataCentre: number
  readonly dataCentres: number
  /** Rate of the link from one data centre to another, bytes per second. */
  readonly linkBytesPerSecond: number
  /** From when until when the origin refuses connections. */
  readonly originAway?: readonly [number, number]
  /** From when until when the origin sends at what share of its rate. */
  readonly originSlow?: readonly [from: number, to: number, share: number]
  readonly chunkCount?: number
  readonly chunkBytes?: number
  readonly originBytesPerSecond?: number
  readonly agentBytesPerSecond?: number
  readonly cutoffMilliseconds?: number
  /** Times at which versions 2, 3, ... are named; manifests, swaps and chunks cut by an outage are replayed only if set. */
  readonly named?: readonly number[]
  /** Agents that are killed, and when. */
  readonly killed?: readonly (readonly [index: number, at: number])[]
}

/** What came of it. */
export interface ExchangeResult {
  /** When the first agent, half of them and the last had all chunks, milliseconds. */
  readonly completeAt: readonly [number, number, number]
  /** Longest time that a packet waited on a link between data centres, milliseconds. */
  readonly longestQueueMilliseconds: number
  /** Time for which a packet had to wait longer than 300 ms, milliseconds, the worst link. */
  readonly slowMilliseconds: number
  /** Bytes over all links between data centres, in copies of the weights for each other data centre than the origin's. */
  readonly copiesBetween: number
  readonly copiesFromOrigin: number
  readonly timeouts: number
  /** When some agent or engine of those alive had each chunk of version 2, milliseconds. */
  readonly outAt: number
  /** Requests to the origin, and those of them for a manifest. */
  readonly originRequests: number
  readonly manifestRequests: number
  /** Versions that each agent alive has served, and from when on. */
  readonly served: readonly (readonly { readonly version: number, readonly at: number }[])[]
}
