/** Fetches a manifest: the two highest-ranked instances of the data centre use the origin or the store, the others use these two. */
import { manifestSchema, type Manifest } from '../../../types/platform.js'
import { requestJson } from '../../../transports/http-client.js'
import { waitUntil } from '../../../utils/clock.js'
import { digestValue } from '../../../utils/digest.js'
import { logFor } from '../../../utils/log.js'
import { rankMembers } from '../../../utils/rendezvous.js'
import type { HeldWeights, Holdings } from './holdings.js'
import type { ExchangeMember, ExchangeOptions } from './options.js'

const log = logFor('exchange')
/** Instances of a data centre that fetch the manifest from outside; also the number of further peers that are tried late. */
const primaryCount = 2
const answerTimeoutMilliseconds = 3000
const retryPauseMilliseconds = 50
/** Time after which an instance also tries all sources outside its assignment. */
const fallbackDelayMilliseconds = 1500

/** Retries until a source has the manifest. Resolves with the verified manifest, or with undefined once `signal` aborts. */
export async function findManifest (options: ExchangeOptions, holdings: Holdings, digest: string, signal: AbortSignal): Promise<HeldWeights | undefined> {
  const known = holdings.get(digest)
  if (known !== undefined) return known
  const fallbackAt = Date.now() + fallbackDelayMilliseconds
  while (!signal.aborted) {
    for (const url of candidateUrls(options, digest, Date.now() >= fallbackAt)) {
      const manifest = await fetchManifest(url, digest, signal)
      if (signal.aborted) return undefined
      if (manifest !== undefined) return holdings.addManifest(digest, manifest)
    }
    await waitUntil(Date.now() + retryPauseMilliseconds, signal)
  }
  return undefined
}

/** Base URLs in the order in which they are tried; with `useFallbacks` also other peers, origin and store, and other data centres last. */
function candidateUrls (options: ExchangeOptions, digest: string, useFallbacks: boolean): readonly string[] {
  const allMembers = options.members(digest)
  const others = allMembers.filter(member => member.dataCentre === options.dataCentre && member.instance !== options.instance)
  const ranked = rankMembers(digest, [...others.map(member => member.instance), options.instance])
  const primaries = ranked.slice(0, primaryCount)
  const primaryUrls = primaries.flatMap(instance => others.filter(member => member.instance === instance)).map(urlOf)
  const outside = [options.origin, options.store].filter(url => url !== undefined)
  const remote = allMembers.filter(member => member.dataCentre !== options.dataCentre)
  const remoteUrls = rankMembers(`${digest}/${options.instance}`, remote.map(urlOf)).slice(0, primaryCount)
  const assigned = primaries.includes(options.instance) ? [...outside, ...primaryUrls] : primaryUrls
  if (!useFallbacks) return assigned
  return [...assigned, ...others.map(urlOf).slice(0, primaryCount), ...outside, ...remoteUrls]
}

function urlOf (member: ExchangeMember): string {
  return `http://${member.address}`
}

/** Manifest from one source; undefined if the source fails or its answer does not match the digest. */
async function fetchManifest (url: string, digest: string, signal: AbortSignal): Promise<Manifest | undefined> {
  try {
    const manifest = manifestSchema.parse(await requestJson({ url: `${url}/weights/${digest}`, method: 'GET', deadline: Date.now() + answerTimeoutMilliseconds, signal }))
    if (digestValue(manifest) === digest) return manifest
    log.warn('manifest does not match its digest', { source: url })
  } catch {
    // The source lacks the manifest or cannot be reached: the next one is tried.
  }
  return undefined
}
