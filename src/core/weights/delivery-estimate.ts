/** Estimates when an engine can serve a version, from what the fleet holds, the origin and the links. */

/** Time of a swap once a copy is complete, milliseconds: staging, draining and loading. */
export const swapMilliseconds = 1000
/** Time to fetch a copy from other agents, in times of one copy on the machine's link: the links also carry uploads and live requests. */
const copyFactor = 1.3
/** Assumed time until an origin that does not answer does so again, milliseconds. */
const originReturnMilliseconds = 2000
/** Hops between agents that the last chunk from the origin takes, each of a chunk time of a link and one announcement. */
const lastChunkHops = 2
/** Time until an announcement reaches an agent, milliseconds. */
const announcementMilliseconds = 50

/** Input of the estimate. */
export interface DeliveryView {
  /** Number of chunks of the version, and the size of one in bytes. */
  readonly total: number
  readonly chunkBytes: number
  /** Chunks that this agent does not hold. */
  readonly missingHere: number
  /** Chunks that no agent is known to hold. */
  readonly missingEverywhere: number
  /** Time of one copy on the origin's link, milliseconds. */
  readonly originCopyMilliseconds: number
  /** Rate of the machine's link, bytes per second; 0 for no limit. */
  readonly linkBytesPerSecond: number
  /** Whether the origin does not answer now. */
  readonly isOriginAway: boolean
}

/** When a version can be served. */
export interface Delivery {
  /** Time until it is complete and swapped to, milliseconds; assumes an early return of an origin that is away. */
  readonly milliseconds: number
  /** Whether chunks are missing everywhere while the origin is away: the time is unknown then. */
  readonly isBlocked: boolean
}

/** Estimates the delivery of a version. */
export function estimateDelivery (view: DeliveryView): Delivery {
  const { total, chunkBytes, missingHere, missingEverywhere, originCopyMilliseconds, linkBytesPerSecond, isOriginAway } = view
  const chunkMilliseconds = linkBytesPerSecond === 0 ? 0 : chunkBytes / linkBytesPerSecond * 1000
  const linkMilliseconds = chunkMilliseconds * missingHere * copyFactor
  const spreadMilliseconds = lastChunkHops * (chunkMilliseconds + announcementMilliseconds)
  const originMilliseconds = missingEverywhere === 0 || total === 0 ? 0 : originCopyMilliseconds * missingEverywhere / total + spreadMilliseconds
  const isBlocked = isOriginAway && missingEverywhere > 0
  const returnMilliseconds = isBlocked ? originReturnMilliseconds : 0
  return { milliseconds: returnMilliseconds + Math.max(linkMilliseconds, originMilliseconds) + swapMilliseconds, isBlocked }
}
