/** Answers to the questionnaire that each new team fills in. */
import { z } from 'zod'
import { operatorKey } from './configuration.js'

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and hyphens')
const positiveInteger = z.number().int().positive()
const strength = { bearsCold: positiveInteger, bearsWarm: positiveInteger, firstByteMilliseconds: positiveInteger }

export const answersSchema = z.object({
  deployment: name,
  weighting: z.enum(['replicas', 'service']),
  whenIsolated: z.enum(['refuse', 'serve']),
  logDataCentre: name,
  /** Public keys of operators; with none, changes need no signature. */
  operatorKeys: z.array(operatorKey).optional(),
  dataCentres: z.array(z.object({ name, region: name }).strict()).min(1),
  organisations: z.array(z.object({ name, size: z.enum(['large', 'small']) }).strict()).min(1),
  services: z.array(z.discriminatedUnion('kind', [
    z.object({ name, kind: z.literal('model'), checksOrders: z.boolean(), ...strength }).strict(),
    z.object({ name, kind: z.literal('plain'), nonIdempotent: z.array(name), ...strength }).strict()
  ])).min(1)
}).strict().readonly()

export type Answers = z.infer<typeof answersSchema>
