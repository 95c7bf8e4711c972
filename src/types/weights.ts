/** Types of the weights that instances should serve and of their sources. */
import type { Manifest } from './platform.js'

/** Weights that an instance should serve according to the configuration in force. */
export interface WantedWeights {
  /** Digest of the manifest. */
  readonly manifest: string
  /** Deadline by which the instance should serve them, epoch milliseconds. */
  readonly finishBy: number
}

/** Progress of fetching the wanted weights, in chunks. */
export interface WeightProgress {
  /** Manifest digest; empty if no weights are wanted. */
  readonly manifest: string
  readonly held: number
  readonly total: number
}

/** A source of chunks. */
export interface ChunkSource {
  /** Base URL that serves `/weights/DIGEST` and `/chunks/DIGEST`. */
  readonly url: string
  readonly kind: 'origin' | 'store' | 'peer'
  readonly dataCentre: string
}

/** A manifest with the digest that identifies it. */
export interface NamedManifest {
  readonly digest: string
  readonly manifest: Manifest
}
