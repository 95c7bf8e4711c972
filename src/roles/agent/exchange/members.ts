/** Which listed instances are to serve a manifest. */
import { wantedWeights } from '../../../core/configuration/resolve.js'
import type { FoldState } from '../../../types/configuration.js'
import type { ListedInstance } from '../../../types/platform.js'
import type { ExchangeMember } from './options.js'

/** Results for the latest configuration and list, by service and manifest. */
let cached: { readonly state: FoldState, readonly listed: readonly ListedInstance[], readonly members: Map<string, readonly ExchangeMember[]> } | undefined

/** Live instances of a service that want a manifest, derived by the same rule that each of them applies to itself; cached until the configuration or the list changes. */
export function membersWanting (state: FoldState, service: string, listed: readonly ListedInstance[], manifest: string): readonly ExchangeMember[] {
  if (cached?.state !== state || cached.listed !== listed) cached = { state, listed, members: new Map() }
  const key = `${service} ${manifest}`
  const known = cached.members.get(key) ?? computeMembers(state, service, listed, manifest)
  cached.members.set(key, known)
  return known
}

function computeMembers ({ configuration, revisions }: FoldState, service: string, listed: readonly ListedInstance[], manifest: string): readonly ExchangeMember[] {
  if (configuration === undefined) return []
  const live = listed.filter(member => member.service === service && member.state === 'live')
  return live.filter(member => {
    const pool = live.filter(other => other.dataCentre === member.dataCentre).map(other => other.instance)
    return wantedWeights(configuration, revisions, service, member.dataCentre, member.instance, pool)?.manifest === manifest
  })
}
