/** A chunk that becomes available late, as after an origin was down, still enters a data centre once. */
import { createServer } from 'node:http'
import { test } from 'tap'
import { formatBitmap, emptyBitmap, withBit } from '../src/core/weights/bitmap.js'
import { ChunkFetcher } from '../src/roles/weights/chunk-fetcher.js'
import { VersionChunks } from '../src/roles/weights/chunk-store.js'
import { PeerTable } from '../src/roles/weights/peer-table.js'
import { OriginPort } from '../src/types/ports.js'
import { listenOn } from '../src/transports/http-listen.js'
import { monotonicNow } from '../src/utils/clock.js'
import { freshAddress } from '../script/launch.js'

const internalPort = 7700
const total = 13
const agentsHere = 13

class DownOrigin extends OriginPort {
  async digests (): Promise<readonly string[]> { throw new Error('connection refused') }
  async chunk (): Promise<Buffer> { throw new Error('connection refused') }
}

interface Case {
  readonly name: string
  /** Time since which the version is wanted when another data centre offers the first chunk, milliseconds. */
  readonly wantedMilliseconds: number
}

const cases: readonly Case[] = [
  { name: 'at once', wantedMilliseconds: 0 },
  { name: 'after 2 s', wantedMilliseconds: 2000 },
  { name: 'after the 6 s for which the origin was down', wantedMilliseconds: 6000 },
  { name: 'after 8 s', wantedMilliseconds: 8000 }
]

for (const { name, wantedMilliseconds } of cases) {
  test(`weights across data centres: a chunk is requested once by a data centre when it is first offered: ${name}`, async t => {
    const holderIp = freshAddress().split(':')[0] ?? ''
    let requests = 0
    const holder = createServer(() => { requests += 1 })
    await listenOn(holder, `${holderIp}:${internalPort}`)
    const ips = Array.from({ length: agentsHere }, (_, index) => `10.2.0.${index + 1}`)
    const held = formatBitmap(withBit(emptyBitmap(total), 0))
    const fetchers = ips.map(ip => {
      const peers = new PeerTable(ip, 'east')
      peers.addPeers([...ips.map(other => ['east', other] as const), ['home', holderIp]])
      peers.receiveHoldings({ kind: 'holdings', dataCentre: 'home', model: 'model', version: 2, held, heldInDataCentre: held, served: 1, isSwapping: false }, holderIp)
      return new ChunkFetcher({
        ip,
        internalPort,
        origin: new DownOrigin(),
        peers,
        originFacts: () => undefined,
        chunkBytes: () => 1024,
        onChunkStored: () => {},
        onDigestDoubted: () => {}
      }, new VersionChunks('model', 2, Array.from({ length: total }, () => 'digest')), monotonicNow() - wantedMilliseconds)
    })
    for (const fetcher of fetchers) fetcher.startFetches()
    await new Promise(resolve => { setTimeout(resolve, 300) })
    t.equal(requests, 1)
    for (const fetcher of fetchers) fetcher.stop()
    holder.close()
    holder.closeAllConnections()
  })
}
