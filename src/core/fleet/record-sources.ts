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
  | { readonly kind: 'entry', readonly instance: string, readonly ip: string, readonly isSameDataCentre: boolean }

/** Round trip to the log by which another data centre must be nearer for its entries to be preferred to the log, milliseconds. */
const nearerMilliseconds = 1
/** Entries near the log that the first entry of another data centre tries before the log itself. */
const relaysNearLog = 2
/** Entries of the own data centre that are tried after the log itself: they may still reach it. */
const laterEntries = 2

/** An entry of the own data centre that answered although its records are not current. */
export interface StaleEntry {
  /** Time since the log confirmed its records, milliseconds. */
  readonly ageMilliseconds: number
  /** Whether its read is in progress, rather than failed. */
  readonly isConnected: boolean
}

/** Age of the records of an entry whose read is in progress from which the next one reads outside the data centre too, milliseconds; and the additional age for each further such entry. A full link delays all reads, and each further one fills it more. */
const takeOverMilliseconds = { first: 1200, further: 400 } as const

/** Whether an entry reads outside its data centre although the entries before it, which are to do so, answered: their reads failed, or take too long. */
export function mayReadOutside (stale: readonly StaleEntry[]): boolean {
  const reading = stale.filter(({ isConnected }) => isConnected)
  const age = Math.min(...reading.map(({ ageMilliseconds }) => ageMilliseconds))
  return age >= takeOverMilliseconds.first + takeOverMilliseconds.further * (reading.length - 1)
}

/** Sources in the order in which `self` tries them; `others` are the other living entries. */
export function orderSources (self: Member, others: readonly Member[]): readonly PreferredSource[] {
  const ranked = rankReaders([self, ...others], self.dataCentre)
  const position = ranked.findIndex(({ instance }) => instance === self.instance)
  const before = position === -1 ? ranked : ranked.slice(0, position)
  const after = position === -1 ? [] : ranked.slice(position + 1, position + 1 + laterEntries)
  const toSource = (member: Member): PreferredSource => ({ kind: 'entry', instance: member.instance, ip: member.ip, isSameDataCentre: member.dataCentre === self.dataCentre })
  return [...before.map(toSource), ...relaysFor(self, others).map(toSource), { kind: 'log' }, ...after.map(toSource)]
}

/** Ready entries of a data centre in rank order; all of them while none is ready, as at a start. */
function rankReaders (members: readonly Member[], dataCentre: string): readonly Member[] {
  const local = members.filter(member => member.dataCentre === dataCentre)
  const ready = local.filter(({ isReady }) => isReady)
  const candidates = new Map((ready.length > 0 ? ready : local).map(member => [member.instance, member]))
  return rankMembers(`records/${dataCentre}`, [...candidates.keys()]).flatMap(instance => candidates.get(instance) ?? [])
}

/** First entries of the data centre that is nearest to the log, unless that is the one of `self` or hardly nearer. */
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
  return rankReaders(others, dataCentre).slice(0, relaysNearLog)
}
