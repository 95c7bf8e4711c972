/** Finds a manifest: the first two of the data centre ask the origin, the others ask these two. */
import { manifestSchema, type Manifest } from '../../../types/platform.js'
import { requestJson } from '../../../transports/http-client.js'
import { waitUntil } from '../../../utils/clock.js'
import { digestValue } from '../../../utils/digest.js'
import { logFor } from '../../../utils/log.js'
import { rankMembers } from '../../../utils/rendezvous.js'
import type { HeldWeights, Holdings } from './holdings.js'
import type { ExchangeMember, ExchangeOptions } from './options.js'

const log = logFor('exchange')
const primaryCount = 2
const answerTimeoutMilliseconds = 3000
const retryPauseMilliseconds = 50
const fallbackDelayMilliseconds = 1500

/** Resolves with the verified manifest, or with undefined once `signal` aborts. */
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

/** Base URLs in the order in which they are asked; other data centres last, and only late. */
function candidateUrls (options: ExchangeOptions, digest: string, late: boolean): readonly string[] {
  const everyone = options.members(digest)
  const others = everyone.filter(member => member.dataCentre === options.dataCentre && member.instance !== options.instance)
  const ranked = rankMembers(digest, [...others.map(member => member.instance), options.instance])
  const first = ranked.slice(0, primaryCount)
  const peers = first.flatMap(instance => others.filter(member => member.instance === instance)).map(urlOf)
  const outside = [options.origin, options.store].filter(url => url !== undefined)
  const remote = everyone.filter(member => member.dataCentre !== options.dataCentre)
  const farPeers = rankMembers(`${digest}/${options.instance}`, remote.map(urlOf)).slice(0, primaryCount)
  const near = first.includes(options.instance) ? [...outside, ...peers] : peers
  if (!late) return near
  return [...near, ...others.map(urlOf).slice(0, primaryCount), ...outside, ...farPeers]
}

function urlOf (member: ExchangeMember): string {
  return `http://${member.address}`
}

async function fetchManifest (url: string, digest: string, signal: AbortSignal): Promise<Manifest | undefined> {
  try {
    const manifest = manifestSchema.parse(await requestJson({ url: `${url}/weights/${digest}`, method: 'GET', deadline: Date.now() + answerTimeoutMilliseconds, signal }))
    if (digestValue(manifest) === digest) return manifest
    log.warn('a manifest does not match its digest', { source: url })
  } catch {
    // Not there yet, or out of reach: the next place is asked.
  }
  return undefined
}
