/** Chooses the series of faults of a soak from its seed. */
import { seededRandom } from '../../src/utils/random.js'
import { faultNames } from './catalogue.js'

/** Size of one soak. */
export interface SoakSize {
  /** Number of series, which overlap. */
  readonly series: number
  /** Number of faults of each series, injected one after the other. */
  readonly faults: number
}

/** Default size of `npm run soak`. */
export const defaultSize: SoakSize = { series: 3, faults: 3 }

/** Names of the faults of each series; the same for the same seed and size. */
export function planSoak (seed: number, size: SoakSize): readonly (readonly string[])[] {
  const random = seededRandom(seed * 104_729)
  const pickFault = (): string => faultNames[Math.floor(random() * faultNames.length)] ?? ''
  return Array.from({ length: size.series }, () => Array.from({ length: size.faults }, pickFault))
}
