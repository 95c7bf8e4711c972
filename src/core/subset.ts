/** Deterministic subsetting: which upstreams an entry watches, so that each upstream has enough watchers. */
import { createHash } from 'node:crypto'
import type { ListedInstance } from '../types/platform.js'
import { rankMembers } from '../utils/rendezvous.js'

const hashBytes = 6
const hashRange = 2 ** (8 * hashBytes)

/** Entry that the subset is computed for. */
export interface Watcher { readonly instance: string, readonly dataCentre: string }

/**
 * Upstreams that an entry watches; all of them when the list has at most `watchers` entries.
 * Each upstream is watched by `watchers` entries of its data centre and by about as many of all entries, selected by hash.
 * For a data centre with fewer than `watchers` entries, rendezvous hashing over all entries selects the watchers.
 */
export function watchedUpstreams (listed: readonly ListedInstance[], watcher: Watcher, watchers: number): readonly ListedInstance[] {
  const others = listed.filter(({ role, instance }) => role === 'entry' && instance !== watcher.instance)
  const upstreams = listed.filter(({ role }) => role === 'upstream')
  if (others.length < watchers) return upstreams
  const all = [...others, watcher]
  const entriesByDataCentre = membersByDataCentre(all)
  const remoteShare = watchers / all.length
  return upstreams.filter(upstream => {
    const localEntries = entriesByDataCentre.get(upstream.dataCentre) ?? []
    if (localEntries.length < watchers) return isAmongTopRanked(upstream.instance, all.map(({ instance }) => instance), watcher, watchers)
    if (upstream.dataCentre === watcher.dataCentre && isAmongTopRanked(upstream.instance, localEntries, watcher, watchers)) return true
    return hashFraction(`${upstream.instance}\u0000${watcher.instance}`) < remoteShare
  })
}

function membersByDataCentre (entries: readonly Watcher[]): ReadonlyMap<string, readonly string[]> {
  const members = new Map<string, string[]>()
  for (const { instance, dataCentre } of entries) members.set(dataCentre, [...members.get(dataCentre) ?? [], instance])
  return members
}

function isAmongTopRanked (upstream: string, members: readonly string[], watcher: Watcher, count: number): boolean {
  return rankMembers(upstream, members).slice(0, count).includes(watcher.instance)
}

/** Hash of a text as a fraction in [0, 1). */
function hashFraction (text: string): number {
  return createHash('md5').update(text).digest().readUIntBE(0, hashBytes) / hashRange
}
