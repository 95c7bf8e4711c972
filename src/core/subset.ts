/** Which upstreams an entry watches: a deterministic part of the list, so that each upstream has enough watchers. */
import { createHash } from 'node:crypto'
import type { ListedInstance } from '../types/platform.js'
import { rankMembers } from '../utils/rendezvous.js'

const hashBytes = 6
const hashRange = 2 ** (8 * hashBytes)

/** The entry for which the part is chosen. */
export interface Watcher { readonly instance: string, readonly dataCentre: string }

/**
 * Upstreams that an entry watches; with few entries everybody watches all.
 * Each upstream is watched by `watchers` entries of its own data centre and by about as many from anywhere, drawn by hash.
 * Where a data centre has too few entries of its own, all entries share its upstreams by rendezvous.
 */
export function watchedUpstreams (listed: readonly ListedInstance[], watcher: Watcher, watchers: number): readonly ListedInstance[] {
  const others = listed.filter(({ role, instance }) => role === 'entry' && instance !== watcher.instance)
  const upstreams = listed.filter(({ role }) => role === 'upstream')
  if (others.length < watchers) return upstreams
  const all = [...others, watcher]
  const near = membersByDataCentre(all)
  const farShare = watchers / all.length
  return upstreams.filter(upstream => {
    const own = near.get(upstream.dataCentre) ?? []
    if (own.length < watchers) return isAmongTopRanked(upstream.instance, all.map(({ instance }) => instance), watcher, watchers)
    if (upstream.dataCentre === watcher.dataCentre && isAmongTopRanked(upstream.instance, own, watcher, watchers)) return true
    return hashFraction(`${upstream.instance}\u0000${watcher.instance}`) < farShare
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

/** Part of the hash's range, in [0, 1). */
function hashFraction (text: string): number {
  return createHash('md5').update(text).digest().readUIntBE(0, hashBytes) / hashRange
}
