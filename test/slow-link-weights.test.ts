/** Weights come from agents of another data centre although the link between is slow: a manifest or chunk that is on its way is not given up. */
import { createHash } from 'node:crypto'
import { Agent, createServer } from 'node:http'
import { test } from 'tap'
import { emptyBitmap, formatBitmap, withBit } from '../src/core/weights/bitmap.js'
import { PeerTable } from '../src/roles/weights/peer-table.js'
import { VersionCache } from '../src/roles/weights/version-cache.js'
import { listenOn } from '../src/transports/http-listen.js'
import { EnginePort, OriginPort, type OrderResult } from '../src/types/ports.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { freshIp, internalPort } from './fakes/entry-group.js'

const [model, version, chunkCount] = ['weights-a', 2, 2] as const
const chunkOf = (position: number): Buffer => Buffer.alloc(64, position + 1)
const digests = Array.from({ length: chunkCount }, (_, position) => createHash('sha256').update(chunkOf(position)).digest('hex'))
const allHeld = formatBitmap(Array.from({ length: chunkCount }, (_, position) => position).reduce(withBit, emptyBitmap(chunkCount)))
/** Time within which the weights must be complete: three round trips of the slowest case, milliseconds. */
const limitMilliseconds = 7000

class AwayOrigin extends OriginPort {
  async digests (): Promise<readonly string[]> { throw new Error('the origin is down') }
  async chunk (): Promise<Buffer> { throw new Error('the origin is down') }
}

class EmptyEngine extends EnginePort {
  async report (): Promise<never> { throw new Error('not used') }
  async staged (): Promise<readonly number[]> { return [] }
  async stagedChunk (): Promise<undefined> {}
  async stage (): Promise<void> {}
  async load (): Promise<OrderResult> { return 'refused' }
}

const cases: readonly { readonly name: string, readonly peers: number, readonly roundTripMilliseconds: number }[] = [
  { name: 'a round trip of 0.6 s', peers: 1, roundTripMilliseconds: 600 },
  { name: 'a round trip of 2 s', peers: 1, roundTripMilliseconds: 2000 },
  { name: 'twelve agents that do not answer, before one that does', peers: 13, roundTripMilliseconds: 100 }
]

for (const { name, peers, roundTripMilliseconds } of cases) {
  test(`slow link, weights: ${name}`, async t => {
    const table = new PeerTable('127.0.0.1', 'east')
    const announcements: (() => void)[] = []
    for (let index = 0; index < peers; index += 1) {
      const ip = freshIp()
      const isLast = index === peers - 1
      const server = createServer((incoming, response) => {
        if (!isLast) return
        const [, kind, , , position = '0'] = (incoming.url ?? '').split('/')
        setTimeout(() => { response.end(kind === 'manifest' ? JSON.stringify(digests) : chunkOf(Number(position))) }, roundTripMilliseconds)
      })
      await listenOn(server, `${ip}:${internalPort}`)
      t.teardown(() => {
        server.close()
        server.closeAllConnections()
      })
      const dataCentre = peers > 1 && isLast ? 'east' : 'home'
      table.addPeers([[dataCentre, ip]])
      announcements.push(() => { table.receiveHoldings({ kind: 'holdings', dataCentre, model, version, held: isLast ? allHeld : '', heldInDataCentre: '', served: 1, isSwapping: false }, ip) })
    }
    const httpAgent = new Agent({ keepAlive: true, maxSockets: 2 })
    const cache = new VersionCache({ ip: '127.0.0.1', internalPort, engine: new EmptyEngine(), origin: new AwayOrigin(), peers: table, httpAgent, originFacts: () => undefined, chunkCount: () => chunkCount, chunkBytes: () => 64, onChunksChanged: () => {}, onOriginChunk: () => {}, onOtherCopy: () => {} })
    const startedAt = monotonicNow()
    while (cache.newestComplete(model) === undefined && monotonicNow() < startedAt + limitMilliseconds) {
      for (const announce of announcements) announce()
      cache.fetchVersion(model, version, startedAt)
      await sleepUntil(monotonicNow() + 50)
    }
    t.ok(cache.newestComplete(model) !== undefined, `complete after ${Math.round(monotonicNow() - startedAt)} ms`)
    cache.stop()
    httpAgent.destroy()
  })
}
