/** Which upstreams an entry watches: a deterministic part of the list, so that each upstream has enough watchers. */
import type { ListedInstance } from '../types/platform.js'
import { rankMembers } from '../utils/rendezvous.js'

/** The entry for which the part is chosen. */
export interface Watcher { readonly instance: string, readonly dataCentre: string }

/** Upstreams that an entry watches. Each upstream is watched by `watchers` entries of its own data centre and by as many among all entries; with few entries everybody watches all. */
export function watchedUpstreams (listed: readonly ListedInstance[], watcher: Watcher, watchers: number): readonly ListedInstance[] {
  const entries = listed.filter(({ role, instance }) => role === 'entry' && instance !== watcher.instance)
  const upstreams = listed.filter(({ role }) => role === 'upstream')
  if (entries.length < watchers) return upstreams
  const all = [...entries.map(({ instance }) => instance), watcher.instance]
  const near = [...entries.filter(({ dataCentre }) => dataCentre === watcher.dataCentre).map(({ instance }) => instance), watcher.instance]
  return upstreams.filter(({ instance, dataCentre }) =>
    (dataCentre === watcher.dataCentre && isAmongFirst(instance, near, watcher, watchers)) ||
    isAmongFirst(instance, all, watcher, watchers))
}

function isAmongFirst (upstream: string, members: readonly string[], watcher: Watcher, count: number): boolean {
  return members.length <= count || rankMembers(upstream, members).slice(0, count).includes(watcher.instance)
}
