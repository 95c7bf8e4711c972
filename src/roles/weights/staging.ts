/** Keeps track of the chunks that are staged on the engine's machine. */
import type { EnginePort } from '../../types/ports.js'
import { logFor } from '../../utils/log.js'
import type { VersionChunks } from './chunk-store.js'

const log = logFor('orders')

/** Stages the chunks of one version at a time; the engine stores one copy of a model and does not verify it. */
export class Staging {
  private chunks: VersionChunks | undefined
  private positions = new Set<number>()

  constructor (private readonly engine: EnginePort) {}

  /** Whether every chunk of a version was staged since the last reset. */
  isComplete (chunks: VersionChunks): boolean {
    return this.chunks === chunks && this.positions.size === chunks.digests.length
  }

  /** Stages the held chunks that are not staged yet, so that a restarted agent finds them. Throws when the engine fails. */
  async add (chunks: VersionChunks): Promise<void> {
    if (this.chunks !== chunks) {
      this.reset()
      this.chunks = chunks
    }
    for (let position = 0; position < chunks.digests.length; position += 1) {
      const bytes = this.positions.has(position) ? undefined : chunks.get(position)
      if (bytes === undefined) continue
      await this.engine.stage(chunks.model, position, bytes)
      this.positions.add(position)
    }
  }

  /** Stages chunks again that are missing at the engine, are corrupt or belong to another version; throws if one of them is not held. */
  async repair (chunks: VersionChunks): Promise<void> {
    for (let position = 0; position < chunks.digests.length; position += 1) {
      const staged = await this.engine.stagedChunk(chunks.model, position)
      if (staged !== undefined && chunks.isValid(position, staged)) continue
      log.warn('a staged chunk is missing or corrupt', { model: chunks.model, version: chunks.version, position })
      const bytes = chunks.get(position)
      if (bytes === undefined) throw new Error(`chunk ${position} of version ${chunks.version} is not held`)
      await this.engine.stage(chunks.model, position, bytes)
    }
  }

  /** Clears the record of what is staged, after a restart of the engine or for another version. */
  reset (): void {
    this.chunks = undefined
    this.positions = new Set()
  }
}
