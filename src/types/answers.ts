/** Schema of the answers to the questionnaire from which a new deployment's configuration is generated. */
import { z } from 'zod'
import { operatorKey } from './configuration.js'

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and hyphens')
const positiveInteger = z.number().int().positive()
/** Concurrency limits (requests) of an upstream just after a cold start and when warm, and the target of its time to the first byte. */
const capacity = { bearsCold: positiveInteger, bearsWarm: positiveInteger, firstByteMilliseconds: positiveInteger }

/** The answers; refuses unknown fields. */
export const answersSchema = z.object({
  deployment: name,
  weighting: z.enum(['replicas', 'service']),
  whenIsolated: z.enum(['refuse', 'serve']),
  logDataCentre: name,
  /** Public Ed25519 keys of operators. Without any, changes need no signature. */
  operatorKeys: z.array(operatorKey).optional(),
  dataCentres: z.array(z.object({ name, region: name }).strict()).min(1),
  organisations: z.array(z.object({ name, size: z.enum(['large', 'small']) }).strict()).min(1),
  services: z.array(z.discriminatedUnion('kind', [
    z.object({ name, kind: z.literal('model'), checksOrders: z.boolean(), ...capacity }).strict(),
    z.object({ name, kind: z.literal('plain'), nonIdempotent: z.array(name), ...capacity }).strict()
  ])).min(1)
}).strict().readonly()

export type Answers = z.infer<typeof answersSchema>
