/**
 * Order of the sources from which an entry reads the log's records. In each data centre the first entry by rendezvous hashing
 * reads for all: the log itself where the log is near, otherwise from an entry near the log. The others read from that entry,
 * so that a link carries each record a few times, however many entries are behind it.
 */
import { rankMembers } from '../../utils/rendezvous.js'
import type { Member } from './members.js'

/** Where an entry reads records: the log itself, or another entry. */
export type PreferredSource =
  | { readonly kind: 'log' }
  | { readonly kind: 'entry', readonly instance: string, readonly ip: string, readonly isSameDataCentre: boolean, readonly isReady: boolean }

/** Round trip to the log by which another data centre must be nearer for its entries to be preferred to the log, milliseconds. */
const nearerMilliseconds = 1
/** Entries near the log that the first entry of another data centre tries before the log itself. */
const relaysNearLog = 3
/** Entries of the own data centre that are tried after the log itself: they may still reach it. */
const laterEntries = 8

/** An entry of the own data centre that answered although its records are not current. */
export interface StaleEntry {
  /** Time since the log confirmed its records, milliseconds. */
  readonly ageMilliseconds: number
  /** Whether its read is in progress, rather than failed. */
  readonly isConnected: boolean
  /** Time since it began to read outside the data centre, milliseconds; undefined while it does not. */
  readonly readingMilliseconds: number | undefined
}

/** Age of the records of an entry whose read is in progress from which the next one reads outside the data centre too, milliseconds; and the additional age for each further such entry. A full link delays all reads, and each further one fills it more. */
const takeOverMilliseconds = { first: 1200, further: 400 } as const

/** Time that a copy of the records takes over a link that carries nothing else, milliseconds; several at once share the link. */
const copyMilliseconds = 600
/** Additional wait for each entry that comes before, milliseconds, so that entries do not begin to read at the same moment. */
const positionMilliseconds = 50
/** Time for which entries that refuse connections count as starting for one that has no records yet, milliseconds. */
const startingMilliseconds = 800

/** What an entry learned when it asked the others of its data centre, none of which delivered. */
export interface AskedEntries {
  /** Stale entries that come before it. */
  readonly before: readonly StaleEntry[]
  /** Stale entries that come after it; they are asked only by an entry whose own records are not current. */
  readonly after: readonly StaleEntry[]
  /** Number of entries before it that refused its connection. */
  readonly refused: number
}

/** The entry that is about to read outside its data centre. */
export interface OutsideReader {
  /** Whether its last read was outside the data centre and its records are current: it reads for the others. */
  readonly isReadingForOthers: boolean
  readonly hasRecords: boolean
  /** Time since it first asked the others for this read, milliseconds. */
  readonly heldMilliseconds: number
}

/**
 * Time for which an entry still leaves the link to others before it reads outside its data centre, milliseconds; 0 or less if it reads now.
 * The wait for an entry that lost its source is bounded, since that one may be cut off from the log alone.
 */
export function outsideReadDelay ({ before, after, refused }: AskedEntries, { isReadingForOthers, hasRecords, heldMilliseconds }: OutsideReader): number {
  const connected = before.filter(({ isConnected }) => isConnected)
  const age = Math.min(...connected.map(({ ageMilliseconds }) => ageMilliseconds))
  const takeOver = takeOverMilliseconds.first + takeOverMilliseconds.further * (connected.length - 1) - age
  if (isReadingForOthers) return takeOver
  const reads = [...before.filter(({ isConnected }) => !isConnected), ...after].flatMap(({ readingMilliseconds }) => readingMilliseconds ?? [])
  const elapsed = Math.max(heldMilliseconds, ...reads)
  const position = positionMilliseconds * (before.length - connected.length + refused)
  const starting = !hasRecords && refused > 0 ? startingMilliseconds + position - heldMilliseconds : -Infinity
  return Math.max(takeOver, copyMilliseconds * reads.length + position - elapsed, starting)
}

/**
 * Whether another entry's read outside the data centre began before this one's claim to read; both in milliseconds until now.
 * An entry that claims asks the others once more before it reads, so that of two that claim at the same time one sees the other.
 */
export function isEarlierRead (readingMilliseconds: number | undefined, claimMilliseconds: number | undefined): boolean {
  return readingMilliseconds !== undefined && (claimMilliseconds === undefined || readingMilliseconds >= claimMilliseconds)
}

/**
 * Sources in the order in which `self` tries them; `others` are the other living entries. Entries that are not ready may be
 * stopping and still have newer records than the one that takes their place.
 */
export function orderSources (self: Member, others: readonly Member[]): readonly PreferredSource[] {
  const ranked = rankReaders([self, ...others], self.dataCentre)
  const position = ranked.findIndex(({ instance }) => instance === self.instance)
  const before = position === -1 ? ranked : ranked.slice(0, position)
  const unready = others.filter(member => member.dataCentre === self.dataCentre && !ranked.includes(member))
  const after = position === -1 ? [] : [...unready, ...ranked.slice(position + 1)].slice(0, laterEntries)
  const toSource = (member: Member): PreferredSource => ({ kind: 'entry', instance: member.instance, ip: member.ip, isSameDataCentre: member.dataCentre === self.dataCentre, isReady: member.isReady })
  return [...before.map(toSource), ...relaysFor(self, others).map(toSource), { kind: 'log' }, ...after.map(toSource)]
}

/** Ready entries of a data centre in rank order; all of them while none is ready, as at a start. */
function rankReaders (members: readonly Member[], dataCentre: string): readonly Member[] {
  const local = members.filter(member => member.dataCentre === dataCentre)
  const ready = local.filter(({ isReady }) => isReady)
  const candidates = new Map((ready.length > 0 ? ready : local).map(member => [member.instance, member]))
  return rankMembers(`records/${dataCentre}`, [...candidates.keys()]).flatMap(instance => candidates.get(instance) ?? [])
}

/** First entries of the data centre that is nearest to the log, after those that rank before them and are not ready; none if it is the one of `self` or hardly nearer. */
function relaysFor (self: Member, others: readonly Member[]): readonly Member[] {
  const delays = new Map<string, number>()
  for (const { dataCentre, logDelayMilliseconds } of [self, ...others]) {
    if (logDelayMilliseconds >= 0) delays.set(dataCentre, Math.min(logDelayMilliseconds, delays.get(dataCentre) ?? Infinity))
  }
  const nearest = [...delays].sort(([leftName, left], [rightName, right]) => left - right || (leftName < rightName ? -1 : 1))[0]
  if (nearest === undefined) return []
  const [dataCentre, delay] = nearest
  const ownDelay = delays.get(self.dataCentre) ?? Infinity
  if (dataCentre === self.dataCentre || ownDelay - delay < nearerMilliseconds) return []
  const ready = rankReaders(others, dataCentre).slice(0, relaysNearLog)
  const last = ready.at(-1)
  const local = new Map(others.filter(member => member.dataCentre === dataCentre).map(member => [member.instance, member]))
  const ranked = rankMembers(`records/${dataCentre}`, [...local.keys()]).flatMap(instance => local.get(instance) ?? [])
  const unready = ranked.slice(0, last === undefined ? 0 : ranked.indexOf(last)).filter(member => !ready.includes(member))
  return [...unready.slice(0, relaysNearLog), ...ready]
}

/** Sources outside the own data centre, and the entries in it that come before and after the log. */
export interface SplitSources { readonly before: readonly PreferredSource[], readonly outside: readonly PreferredSource[], readonly after: readonly PreferredSource[] }

/** Splits sources by where they are; their order remains. */
export function splitSources (sources: readonly PreferredSource[]): SplitSources {
  const firstOutside = sources.findIndex(isOutside)
  const inside = sources.filter(source => !isOutside(source))
  const count = firstOutside === -1 ? inside.length : firstOutside
  return { before: inside.slice(0, count), outside: sources.filter(isOutside), after: inside.slice(count) }
}

/** Whether a source is outside the own data centre. */
export function isOutside (source: PreferredSource): boolean {
  return source.kind === 'log' || !source.isSameDataCentre
}

/** Name of a source: `log`, or the instance of an entry. */
export function nameOfSource (source: PreferredSource): string {
  return source.kind === 'log' ? 'log' : source.instance
}
