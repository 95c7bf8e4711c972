/** Weights that an instance should serve. */
import type { Manifest } from './platform.js'

/** Target of an instance, from the configuration in force. */
export interface WantedWeights {
  /** Digest of the manifest. */
  readonly manifest: string
  /** Epoch milliseconds by which the instance should serve it. */
  readonly finishBy: number
}

/** Progress of the exchange towards the wanted weights. */
export interface WeightProgress {
  /** Manifest digest, empty when nothing is wanted. */
  readonly manifest: string
  readonly held: number
  readonly total: number
}

/** Where a chunk came from. */
export interface ChunkSource {
  /** Base URL that serves `/weights/DIGEST` and `/chunks/DIGEST`. */
  readonly url: string
  readonly kind: 'origin' | 'store' | 'peer'
  readonly dataCentre: string
}

/** A manifest with its digest. */
export interface NamedManifest {
  readonly digest: string
  readonly manifest: Manifest
}
