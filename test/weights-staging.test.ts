/** Staging of chunks at an engine, and their recovery by a restarted agent. */
import { Agent } from 'node:http'
import { test } from 'tap'
import { VersionChunks } from '../src/roles/weights/chunk-store.js'
import { PeerTable } from '../src/roles/weights/peer-table.js'
import { Staging } from '../src/roles/weights/staging.js'
import { VersionCache } from '../src/roles/weights/version-cache.js'
import type { EngineReport } from '../src/types/fleet.js'
import { EnginePort, OriginPort, type OrderResult } from '../src/types/ports.js'
import { monotonicNow } from '../src/utils/clock.js'
import { digestBytes } from '../src/utils/digest.js'
import { until } from './fakes/followers.js'

const model = 'weights-a'
const allPositions = [0, 1, 2, 3]
const chunkOf = (version: number, position: number): Buffer => Buffer.from(`version ${version} chunk ${position}`)
const digestsOf = (version: number): readonly string[] => allPositions.map(position => digestBytes(chunkOf(version, position)))

/** An engine's staged chunks, in memory. */
class StagedEngine extends EnginePort {
  readonly chunks = new Map<number, Buffer>()
  puts = 0

  async report (): Promise<EngineReport> { throw new Error('report is not used by this test') }
  async staged (): Promise<readonly number[]> { return [...this.chunks.keys()] }
  async stagedChunk (_model: string, position: number): Promise<Buffer | undefined> { return this.chunks.get(position) }
  async load (): Promise<OrderResult> { throw new Error('load is not used by this test') }

  async stage (_model: string, position: number, chunk: Buffer): Promise<void> {
    this.puts += 1
    this.chunks.set(position, chunk)
  }
}

/** An origin that serves manifests but no chunks. */
class UnavailableOrigin extends OriginPort {
  async digests (_address: string, _model: string, version: number): Promise<readonly string[]> { return digestsOf(version) }
  async chunk (): Promise<Buffer> { throw new Error('the origin is unavailable') }
}

function heldChunks (version: number, positions: readonly number[]): VersionChunks {
  const chunks = new VersionChunks(model, version, digestsOf(version))
  for (const position of positions) chunks.put(position, chunkOf(version, position))
  return chunks
}

/** Positions of the chunks that a restarted agent reads back from its engine. */
async function restoredPositions (engine: StagedEngine, version: number): Promise<readonly number[]> {
  const versions = new VersionCache({
    ip: '127.0.0.1',
    internalPort: 1,
    engine,
    origin: new UnavailableOrigin(),
    peers: new PeerTable('127.0.0.1', 'zone-a'),
    httpAgent: new Agent(),
    originFacts: () => ({ address: '127.0.0.1:1', bytesPerSecond: 0 }),
    chunkCount: () => allPositions.length,
    chunkBytes: () => 20,
    onChunksChanged: () => {},
    onOriginChunk: () => {},
    onOtherCopy: () => {}
  })
  versions.fetchVersion(model, version, monotonicNow())
  await until(() => versions.current !== undefined)
  versions.stop()
  return allPositions.filter(position => versions.current?.has(position))
}

const restarts: readonly { readonly name: string, readonly staged: readonly (readonly [number, readonly number[]])[], readonly version: number, readonly expected: readonly number[] }[] = [
  { name: 'an unfinished fetch', staged: [[2, [1, 3]]], version: 2, expected: [1, 3] },
  { name: 'an unfinished fetch staged over an older copy', staged: [[1, allPositions], [2, [2]]], version: 2, expected: [2] },
  { name: 'a complete copy', staged: [[2, allPositions]], version: 2, expected: allPositions },
  { name: 'no chunk of another version', staged: [[2, allPositions]], version: 3, expected: [] }
]

for (const { name, staged, version, expected } of restarts) {
  test(`staging: a restarted agent restores ${name}`, async t => {
    const engine = new StagedEngine()
    const staging = new Staging(engine)
    for (const [stagedVersion, positions] of staged) await staging.add(heldChunks(stagedVersion, positions))
    t.same(await restoredPositions(engine, version), expected)
  })
}

test('staging: each chunk is staged once, and again for another version or after a restart of the engine', async t => {
  const engine = new StagedEngine()
  const staging = new Staging(engine)
  const versionTwo = heldChunks(2, [0, 1])
  await staging.add(versionTwo)
  await staging.add(versionTwo)
  t.equal(engine.puts, 2)
  t.equal(staging.isComplete(versionTwo), false)
  for (const position of [2, 3]) versionTwo.put(position, chunkOf(2, position))
  await staging.add(versionTwo)
  t.equal(engine.puts, 4)
  t.equal(staging.isComplete(versionTwo), true)
  staging.reset()
  t.equal(staging.isComplete(versionTwo), false)
  await staging.add(heldChunks(3, allPositions))
  t.equal(staging.isComplete(versionTwo), false)
})

test('staging: a check leaves only valid chunks of the version', async t => {
  const engine = new StagedEngine()
  const staging = new Staging(engine)
  const versionTwo = heldChunks(2, allPositions)
  await staging.add(versionTwo)
  engine.chunks.set(1, Buffer.from('rotten'))
  engine.chunks.set(3, chunkOf(1, 3))
  engine.chunks.delete(0)
  await staging.verify(versionTwo)
  t.same(allPositions.map(position => engine.chunks.get(position)), allPositions.map(position => chunkOf(2, position)))
})
