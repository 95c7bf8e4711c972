/** Time without an engine that may serve, of a replayed series of versions and of an ideal one that knows all faults beforehand. */

/** A series of versions and the faults of the origin; times in milliseconds. */
export interface Series {
  /** Times at which versions 2, 3, ... are named. */
  readonly named: readonly number[]
  /** Time of one copy on the link of the origin, and on that of an agent. */
  readonly copyMilliseconds: number
  readonly linkCopyMilliseconds: number
  readonly cutoffMilliseconds: number
  readonly chunkCount: number
  readonly originAway?: readonly [number, number]
  readonly originSlow?: readonly [number, number, number]
}

interface Served { readonly version: number, readonly at: number }

const stepMilliseconds = 10
const swapMilliseconds = 1000
/** Time after which no version is missing any more. */
const endMilliseconds = 60_000

/** Time without an engine that may serve, milliseconds; versions that are served, and from when on, for each engine. */
export function withoutService (series: Series, engines: readonly (readonly Served[])[]): number {
  let lost = 0
  for (let now = 0; now < endMilliseconds; now += stepMilliseconds) {
    const required = Math.max(1, ...series.named.map((at, index) => at + series.cutoffMilliseconds <= now ? index + 2 : 1))
    const isServed = engines.some(served => served.some(({ version, at }) => at <= now && version >= required))
    if (!isServed) lost += stepMilliseconds
  }
  return lost
}

/** The least time that any order of the versions leaves, if each leaves the origin at the full rate of its link, and reaches all at that of theirs. */
export function leastWithoutService (series: Series): number {
  const newest = series.named.length + 1
  const older = series.named.slice(0, -1).map((_, index) => index + 2)
  let least = Infinity
  for (let selected = 0; selected < 2 ** older.length; selected += 1) {
    const order = [...older.filter((_, index) => (selected & 2 ** index) !== 0), newest]
    least = Math.min(least, withoutService(series, [idealServed(series, order)]))
  }
  return least
}

function idealServed (series: Series, order: readonly number[]): readonly Served[] {
  const served: Served[] = [{ version: 1, at: 0 }]
  const linkChunkMilliseconds = series.linkCopyMilliseconds / series.chunkCount
  let outAt = 0
  let completeAt = 0
  for (const version of order) {
    const namedAt = series.named[version - 2] ?? 0
    outAt = sentAt(series, Math.max(outAt, namedAt))
    completeAt = Math.max(outAt + linkChunkMilliseconds, Math.max(completeAt, namedAt) + series.linkCopyMilliseconds)
    served.push({ version, at: completeAt + swapMilliseconds })
  }
  return served
}

/** When one copy has left the origin that begins to send it at `from`. */
function sentAt ({ copyMilliseconds, originAway = [0, 0], originSlow = [0, 0, 1] }: Series, from: number): number {
  let now = from
  for (let sent = 0; sent < copyMilliseconds; now += 1) {
    if (now >= originAway[0] && now < originAway[1]) continue
    sent += now >= originSlow[0] && now < originSlow[1] ? originSlow[2] : 1
  }
  return now
}
