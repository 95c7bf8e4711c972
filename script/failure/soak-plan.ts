/** Series of faults that a soak draws from its seed. */
import { seededRandom } from '../../src/utils/random.js'
import { faultNames } from './catalogue.js'

/** Size of one soak. */
export interface SoakSize {
  /** Series that overlap. */
  readonly series: number
  /** Faults of each series, one after the other. */
  readonly faults: number
}

/** Size of a run by hand. */
export const defaultSize: SoakSize = { series: 3, faults: 3 }

/** Faults of each series, the same for the same seed and size. */
export function planSoak (seed: number, size: SoakSize): readonly (readonly string[])[] {
  const random = seededRandom(seed * 104_729)
  const draw = (): string => faultNames[Math.floor(random() * faultNames.length)] ?? ''
  return Array.from({ length: size.series }, () => Array.from({ length: size.faults }, draw))
}
